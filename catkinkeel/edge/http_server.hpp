#pragma once

// The HTTP interface of an edge daemon: readiness for the routers, metrics for
// operators and snapshots for other daemons. It only reads shared state.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/readiness.hpp"
#include "catkinkeel/edge/view_board.hpp"

#include <atomic>
#include <memory>
#include <string>

struct mg_connection;
struct mg_context;

namespace catkinkeel::edge
{

struct http_settings
{
    endpoint readiness;
    std::string readiness_path;
    endpoint metrics;
    /// Address at which other daemons request the snapshot.
    endpoint control;

    friend auto operator<=>(const http_settings&,
                            const http_settings&) = default;
};

/// Each snapshot holds a server thread for as long as its transfer takes, which
/// is seconds on a slow link. Threads beyond this number stay free for
/// readiness checks and metrics.
inline constexpr int max_concurrent_snapshots = 2;

/// `GET` of the readiness path: 200, or 503 with the reason as text.
/// `GET /metrics`: the Prometheus text format. `GET` of `snapshot_path`: the
/// view as JSON, or 503 without one or while `max_concurrent_snapshots` are
/// being sent. Each address serves all three paths.
class http_server
{
public:
    /// Fails with `unavailable` if listening on an address fails.
    static outcome<std::shared_ptr<http_server>>
    open(const http_settings& settings, std::shared_ptr<const readiness> ready,
         std::shared_ptr<edge_metrics> metrics,
         std::shared_ptr<const view_board> views);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    http_server(std::shared_ptr<const readiness> ready,
                std::shared_ptr<edge_metrics> metrics,
                std::shared_ptr<const view_board> views);

    struct response
    {
        int status = 200;
        std::string media_type;
        std::string body;
    };

    /// Sends a snapshot, or 503 if too many are being sent.
    static int serve_snapshot(mg_connection* connection, void* server);
    /// Sends what `respond` returns; 500 if it throws.
    template <response (http_server::*respond)() const>
    static int serve(mg_connection* connection, void* server);

    [[nodiscard]] response readiness_response() const;
    [[nodiscard]] response metrics_response() const;
    [[nodiscard]] response snapshot_response() const;
    [[nodiscard]] response snapshot_busy_response() const;

    std::shared_ptr<const readiness> ready_;
    std::shared_ptr<edge_metrics> metrics_;
    std::shared_ptr<const view_board> views_;
    std::atomic<int> snapshots_being_sent_{0};
    mg_context* context_ = nullptr;
};

} // namespace catkinkeel::edge
