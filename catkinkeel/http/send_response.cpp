#include "catkinkeel/http/send_response.hpp"

#include <civetweb.h>

#include <algorithm>
#include <cstddef>

namespace catkinkeel
{

int send_response(mg_connection* connection, int status,
                  std::string_view media_type, const std::string& body)
{
    mg_printf(connection,
              "HTTP/1.1 %d %s\r\nContent-Type: %.*s\r\n"
              "Content-Length: %zu\r\nConnection: close\r\n\r\n",
              status, mg_get_response_code_text(connection, status),
              static_cast<int>(media_type.size()), media_type.data(),
              body.size());
    // `mg_write` returns early if the socket took nothing for 2 s. A client
    // that reads slowly may need longer: the kernel reports room only after a
    // third of the send buffer of up to 4 MB was sent, 2.1 s at 5 Mbit/s. So
    // the client is given up only if a whole call wrote nothing.
    std::string_view rest = body;
    int written = 1;
    while (!rest.empty() && written > 0)
    {
        written = mg_write(connection, rest.data(), rest.size());
        rest.remove_prefix(static_cast<std::size_t>(std::max(written, 0)));
    }
    return status;
}

} // namespace catkinkeel
