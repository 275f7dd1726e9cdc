#include "catkinkeel/edge/http_server.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/snapshot_json.hpp"
#include "catkinkeel/http/send_response.hpp"
#include "catkinkeel/steering/snapshot.hpp"

#include <civetweb.h>

#include <array>
#include <exception>
#include <string>
#include <utility>

namespace catkinkeel::edge
{

http_server::http_server(std::shared_ptr<const readiness> ready,
                         std::shared_ptr<edge_metrics> metrics,
                         std::shared_ptr<const view_board> views)
    : ready_(std::move(ready)),
      metrics_(std::move(metrics)),
      views_(std::move(views))
{
}

template <http_server::response (http_server::*respond)() const>
int http_server::serve(mg_connection* connection, void* server)
{
    // CivetWeb is a C library, through which no exception may pass.
    try
    {
        const response result = (static_cast<http_server*>(server)->*respond)();
        return send_response(connection, result.status, result.media_type,
                             result.body);
    }
    catch (const std::exception&)
    {
        static_cast<http_server*>(server)->metrics_->duty_failures.Increment();
        return send_response(connection, 500, "text/plain", "internal error\n");
    }
}

int http_server::serve_snapshot(mg_connection* connection, void* server)
{
    auto& sent = static_cast<http_server*>(server)->snapshots_being_sent_;
    const int status =
        ++sent <= max_concurrent_snapshots
            ? serve<&http_server::snapshot_response>(connection, server)
            : serve<&http_server::snapshot_busy_response>(connection, server);
    --sent;
    return status;
}

outcome<std::shared_ptr<http_server>>
http_server::open(const http_settings& settings,
                  std::shared_ptr<const readiness> ready,
                  std::shared_ptr<edge_metrics> metrics,
                  std::shared_ptr<const view_board> views)
{
    std::shared_ptr<http_server> server(new http_server(
        std::move(ready), std::move(metrics), std::move(views)));
    const std::string ports = to_string(settings.readiness) + "," +
                              to_string(settings.metrics) + "," +
                              to_string(settings.control);
    // One thread more than slow clients of snapshots and metrics may occupy, so
    // that they do not delay readiness checks.
    const std::string threads = std::to_string(max_concurrent_snapshots + 2);
    std::array<const char*, 9> options{"listening_ports",
                                       ports.c_str(),
                                       "num_threads",
                                       threads.c_str(),
                                       "request_timeout_ms",
                                       "2000",
                                       "enable_keep_alive",
                                       "no",
                                       nullptr};
    const mg_callbacks callbacks{};
    server->context_ = mg_start(&callbacks, nullptr, options.data());
    if (server->context_ == nullptr)
    {
        return failure{failure_kind::unavailable, "cannot listen on " + ports};
    }
    mg_set_request_handler(
        server->context_, settings.readiness_path.c_str(),
        &http_server::serve<&http_server::readiness_response>, server.get());
    mg_set_request_handler(server->context_, "/metrics",
                           &http_server::serve<&http_server::metrics_response>,
                           server.get());
    mg_set_request_handler(server->context_, snapshot_path,
                           &http_server::serve_snapshot, server.get());
    return server;
}

http_server::~http_server()
{
    if (context_ != nullptr)
    {
        mg_stop(context_);
    }
}

http_server::response http_server::readiness_response() const
{
    return {ready_->is_ready() ? 200 : 503, "text/plain",
            std::string(ready_->reason()) + "\n"};
}

http_server::response http_server::metrics_response() const
{
    return {200, "text/plain; version=0.0.4", metrics_->text()};
}

http_server::response http_server::snapshot_busy_response() const
{
    return {503, "text/plain", "other snapshots are being sent\n"};
}

http_server::response http_server::snapshot_response() const
{
    const auto view = views_->get();
    if (view->parts().version == set_version{})
    {
        return {503, "text/plain", "no configuration is available\n"};
    }
    return {200, "application/json",
            to_json(steering::to_metadata_update(*view, boot_now()))};
}

} // namespace catkinkeel::edge
