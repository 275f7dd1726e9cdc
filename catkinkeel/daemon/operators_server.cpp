#include "catkinkeel/daemon/operators_server.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/http/send_response.hpp"
#include "catkinkeel/operators/enum_names.hpp"

#include <civetweb.h>

#include <array>
#include <future>
#include <string>
#include <utility>

namespace catkinkeel
{

/// One path of the server.
struct operators_server::route
{
    const operators_server* server;
    std::string_view path;
    answer (operators_server::*make)(const std::string& query) const;
};

namespace
{

constexpr duration explain_timeout = 500ms;

/// Empty if the parameter is absent. A value too long to be legal is replaced
/// by one that no parser takes, so that it does not pass for an absent one.
std::string parameter(const std::string& query, const char* name)
{
    std::array<char, 256> value{};
    const int size = mg_get_var(query.data(), query.size(), name, value.data(),
                                value.size());
    if (size < 0)
    {
        return size == -2 ? "(too long)" : "";
    }
    return {value.data(), static_cast<std::size_t>(size)};
}

explain_document make_explain(const flow_key& key, const explanation& why)
{
    explain_document document;
    document.caller = key.caller;
    document.public_endpoint = key.service_side;
    document.transport = key.transport;
    document.in_effect = why.in_effect;
    document.bucket = why.bucket;
    document.home = why.home;
    document.owner = why.owner.value_or(vm_id{});
    document.standby = why.standby.value_or(vm_id{});
    document.holder = why.held_by_this_vm;
    document.reference = why.reference;
    document.service = why.service;
    document.reason = why.rule;
    if (const auto* to = std::get_if<deliver>(&why.result))
    {
        document.action = explained_action::deliver;
        document.target = to->target;
        document.source = why.has_record ? explained_source::record
                                         : explained_source::base_table;
    }
    else if (std::holds_alternative<relay>(why.result))
    {
        document.action = explained_action::relay;
        document.source = explained_source::other_holder;
    }
    else if (const auto* no = std::get_if<refuse>(&why.result))
    {
        document.action = explained_action::refuse;
        document.reason = name_of(no->reason);
    }
    else
    {
        document.reason += ": ";
        document.reason += name_of(std::get<discard>(why.result).reason);
    }
    return document;
}

} // namespace

operators_server::operators_server(const daemon_facts& facts,
                                   std::shared_ptr<status_board> board,
                                   std::shared_ptr<reporter> events,
                                   std::shared_ptr<decide_ring> decide)
    : facts_(facts),
      board_(std::move(board)),
      events_(std::move(events)),
      decide_(std::move(decide))
{
    routes_ = {{this, "/healthz", &operators_server::health},
               {this, "/readyz", &operators_server::readiness},
               {this, "/metrics", &operators_server::metrics},
               {this, status_path, &operators_server::status},
               {this, audit_path, &operators_server::audit},
               {this, explain_path, &operators_server::explain}};
}

outcome<std::shared_ptr<operators_server>>
operators_server::open(const endpoint& where, const daemon_facts& facts,
                       std::shared_ptr<status_board> board,
                       std::shared_ptr<reporter> events,
                       std::shared_ptr<decide_ring> decide)
{
    std::shared_ptr<operators_server> server(new operators_server(
        facts, std::move(board), std::move(events), std::move(decide)));
    const std::string port = to_string(where);
    std::array<const char*, 9> options{"listening_ports",
                                       port.c_str(),
                                       "num_threads",
                                       "4",
                                       "request_timeout_ms",
                                       "5000",
                                       "enable_keep_alive",
                                       "no",
                                       nullptr};
    const mg_callbacks callbacks{};
    server->context_ = mg_start(&callbacks, nullptr, options.data());
    if (server->context_ == nullptr)
    {
        return failure{failure_kind::unavailable,
                       "operators' HTTP cannot listen on " + port};
    }
    for (route& each : server->routes_)
    {
        mg_set_request_handler(server->context_, each.path.data(),
                               &operators_server::serve, &each);
    }
    return server;
}

operators_server::~operators_server()
{
    if (context_ != nullptr)
    {
        mg_stop(context_);
    }
}

int operators_server::serve(mg_connection* connection, void* of)
{
    const route& asked = *static_cast<const route*>(of);
    const mg_request_info* request = mg_get_request_info(connection);
    answer made{405, "text/plain", "only GET is served\n"};
    if (std::string_view(request->request_method) == "GET")
    {
        const std::string query =
            request->query_string == nullptr ? "" : request->query_string;
        made = (asked.server->*asked.make)(query);
    }
    return send_response(connection, made.status, made.media_type, made.body);
}

operators_server::answer
operators_server::health(const std::string& /*query*/) const
{
    return {200, "text/plain", "ok\n"};
}

operators_server::answer
operators_server::readiness(const std::string& /*query*/) const
{
    const auto decide = board_->decide.get();
    const char* reason = nullptr;
    if (board_->shutting_down)
    {
        reason = "shutting down";
    }
    else if (decide->in_effect == set_version{})
    {
        reason = "no published set in effect";
    }
    else if (!decide->may_open)
    {
        reason = "no peer acknowledges this VM";
    }
    else if (decide->buckets.awaited > 0)
    {
        reason = "handovers of buckets are awaited";
    }
    return reason == nullptr
               ? answer{200, "text/plain", "ready\n"}
               : answer{503, "text/plain", std::string(reason) + "\n"};
}

operators_server::answer
operators_server::metrics(const std::string& /*query*/) const
{
    metrics_snapshot snapshot = make_metrics(*board_, facts_);
    for (std::size_t i = 0; i < severity_names().size(); ++i)
    {
        const auto level = static_cast<severity>(i);
        snapshot.events[std::string(to_string(level))] =
            static_cast<double>(events_->count(level));
    }
    return {200, "text/plain; version=0.0.4", metrics_text(snapshot)};
}

operators_server::answer
operators_server::status(const std::string& /*query*/) const
{
    return {200, "application/json",
            to_json(make_status(*board_, facts_, wall_now()))};
}

operators_server::answer operators_server::audit(const std::string& query) const
{
    const auto asked =
        parse_audit_query(parameter(query, "after"), parameter(query, "limit"));
    if (!asked)
    {
        return {400, "text/plain", asked.error().message + "\n"};
    }
    audit_document document;
    document.daemon = {facts_.vm, facts_.name, facts_.data_centre,
                       std::string(release()), wall_now()};
    document.dropped = events_->audit().dropped();
    for (const audit_entry& each :
         events_->audit().entries(asked.value().after, asked.value().limit))
    {
        document.entries.push_back(make_audit_line(each));
    }
    return {200, "application/json", to_json(document)};
}

operators_server::answer
operators_server::explain(const std::string& query) const
{
    const auto key =
        parse_flow_key(parameter(query, "caller"), parameter(query, "public"),
                       parameter(query, "protocol"));
    if (!key)
    {
        return {400, "text/plain", key.error().message + "\n"};
    }
    auto promise = std::make_shared<std::promise<explanation>>();
    auto made = promise->get_future();
    const packet_facts facts{.key = key.value(),
                             .phase = flow_phase::established};
    if (!decide_->try_push(explain_requested{facts, promise}) ||
        made.wait_for(explain_timeout) != std::future_status::ready)
    {
        return {503, "text/plain", "the decide thread is busy\n"};
    }
    explain_document document = make_explain(key.value(), made.get());
    document.daemon = {facts_.vm, facts_.name, facts_.data_centre,
                       std::string(release()), wall_now()};
    return {200, "application/json", to_json(document)};
}

} // namespace catkinkeel
