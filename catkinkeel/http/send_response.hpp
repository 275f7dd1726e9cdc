#pragma once

// Sends responses of HTTP servers that use CivetWeb.

#include <string>
#include <string_view>

struct mg_connection;

namespace catkinkeel
{

/// Sends a complete response with "Connection: close". A client that takes
/// nothing for about 4 s (with a request timeout of 2 s) is given up. Returns
/// `status`, which CivetWeb expects from a request handler.
int send_response(mg_connection* connection, int status,
                  std::string_view media_type, const std::string& body);

} // namespace catkinkeel
