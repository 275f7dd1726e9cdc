#pragma once

// The one way in which the programs answer HTTP requests that CivetWeb takes.

#include <string>
#include <string_view>

struct mg_connection;

namespace catkinkeel
{

/// Sends a whole answer and closes the connection. Returns `status`, as
/// CivetWeb wants it of a request handler.
int send_answer(mg_connection* connection, int status,
                std::string_view media_type, const std::string& body);

} // namespace catkinkeel
