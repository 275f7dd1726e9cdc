#include "catkinkeel/http/send_response.hpp"

#include <civetweb.h>

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
    mg_write(connection, body.data(), body.size());
    return status;
}

} // namespace catkinkeel
