#pragma once

// HTTP server for operators: health, readiness, metrics, status, audit trail
// and explanations of the decision for a flow.

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/daemon/event_reporter.hpp"
#include "catkinkeel/daemon/inputs.hpp"
#include "catkinkeel/daemon/status_board.hpp"

#include <memory>

struct mg_context;
struct mg_connection;

namespace catkinkeel
{

/// Handles requests on CivetWeb's own threads until it is destroyed.
class operators_server
{
public:
    /// Fails with `unavailable` if the endpoint cannot be bound.
    static outcome<std::shared_ptr<operators_server>>
    open(const endpoint& listen_endpoint, const daemon_info& info,
         std::shared_ptr<status_board> board,
         std::shared_ptr<event_reporter> events,
         std::shared_ptr<decide_ring> decide_inputs);

    ~operators_server();
    operators_server(const operators_server&) = delete;
    operators_server& operator=(const operators_server&) = delete;

private:
    struct response
    {
        int status = 200;
        std::string media_type = "application/json";
        std::string body;
    };
    struct route;

    operators_server(const daemon_info& info,
                     std::shared_ptr<status_board> board,
                     std::shared_ptr<event_reporter> events,
                     std::shared_ptr<decide_ring> decide_inputs);

    /// CivetWeb callback; `user_data` is the `route`.
    static int handle_request(mg_connection* connection, void* user_data);
    [[nodiscard]] response health(const std::string& query) const;
    [[nodiscard]] response readiness(const std::string& query) const;
    [[nodiscard]] response metrics(const std::string& query) const;
    [[nodiscard]] response status(const std::string& query) const;
    [[nodiscard]] response audit(const std::string& query) const;
    [[nodiscard]] response explain(const std::string& query) const;

    daemon_info info_;
    std::shared_ptr<status_board> board_;
    std::shared_ptr<event_reporter> events_;
    std::shared_ptr<decide_ring> decide_inputs_;
    std::vector<route> routes_;
    mg_context* context_ = nullptr;
};

} // namespace catkinkeel
