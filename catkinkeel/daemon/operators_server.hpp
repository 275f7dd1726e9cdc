#pragma once

// The operators' HTTP: health, metrics, status, audit trail and explanations.

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/daemon/inputs.hpp"
#include "catkinkeel/daemon/reporter.hpp"
#include "catkinkeel/daemon/status_board.hpp"

#include <memory>

struct mg_context;
struct mg_connection;

namespace catkinkeel
{

/// Serves on CivetWeb's own threads until it is destroyed.
class operators_server
{
public:
    /// Fails with `unavailable` if the endpoint cannot be bound.
    static outcome<std::shared_ptr<operators_server>>
    open(const endpoint& where, const daemon_facts& facts,
         std::shared_ptr<status_board> board, std::shared_ptr<reporter> events,
         std::shared_ptr<decide_ring> decide);

    ~operators_server();
    operators_server(const operators_server&) = delete;
    operators_server& operator=(const operators_server&) = delete;

private:
    struct answer
    {
        int status = 200;
        std::string media_type = "application/json";
        std::string body;
    };
    struct route;

    operators_server(const daemon_facts& facts,
                     std::shared_ptr<status_board> board,
                     std::shared_ptr<reporter> events,
                     std::shared_ptr<decide_ring> decide);

    static int serve(mg_connection* connection, void* of);
    [[nodiscard]] answer health(const std::string& query) const;
    [[nodiscard]] answer readiness(const std::string& query) const;
    [[nodiscard]] answer metrics(const std::string& query) const;
    [[nodiscard]] answer status(const std::string& query) const;
    [[nodiscard]] answer audit(const std::string& query) const;
    [[nodiscard]] answer explain(const std::string& query) const;

    daemon_facts facts_;
    std::shared_ptr<status_board> board_;
    std::shared_ptr<reporter> events_;
    std::shared_ptr<decide_ring> decide_;
    std::vector<route> routes_;
    mg_context* context_ = nullptr;
};

} // namespace catkinkeel
