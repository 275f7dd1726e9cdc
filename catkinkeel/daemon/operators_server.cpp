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

/// A path of the server and the function that responds to it.
struct operators_server::route
{
    const operators_server* server;
    std::string_view path;
    response (operators_server::*handler)(const std::string& query) const;
};

namespace
{

/// Time to wait for the decide thread to explain a decision.
constexpr duration explain_timeout = 500ms;

/// Value of a parameter of the query string; empty if it is absent. A value
/// over 255 bytes, longer than any valid one, is replaced by one that every
/// parser rejects, so that it is not mistaken for an absent one.
std::string query_parameter(const std::string& query, const char* name)
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

explain_document make_explain_document(const flow_key& key,
                                       const explanation& explained)
{
    explain_document document;
    document.caller = key.caller;
    document.public_endpoint = key.service_side;
    document.transport = key.transport;
    document.in_effect = explained.in_effect;
    document.bucket = explained.bucket;
    document.home = explained.home;
    document.owner = explained.owner.value_or(vm_id{});
    document.standby = explained.standby.value_or(vm_id{});
    document.holder = explained.held_by_this_vm;
    document.reference = explained.reference;
    document.service = explained.service;
    document.reason = explained.rule;
    if (const auto* delivery = std::get_if<deliver>(&explained.result))
    {
        document.action = explained_action::deliver;
        document.target = delivery->target;
        document.source = explained.has_record ? explained_source::record
                                               : explained_source::base_table;
    }
    else if (std::holds_alternative<relay>(explained.result))
    {
        document.action = explained_action::relay;
        document.source = explained_source::other_holder;
    }
    else if (const auto* refusal = std::get_if<refuse>(&explained.result))
    {
        document.action = explained_action::refuse;
        document.reason = name_of(refusal->reason);
    }
    else
    {
        document.reason += ": ";
        document.reason += name_of(std::get<discard>(explained.result).reason);
    }
    return document;
}

} // namespace

operators_server::operators_server(const daemon_info& info,
                                   std::shared_ptr<status_board> board,
                                   std::shared_ptr<event_reporter> events,
                                   std::shared_ptr<decide_ring> decide_inputs)
    : info_(info),
      board_(std::move(board)),
      events_(std::move(events)),
      decide_inputs_(std::move(decide_inputs))
{
    routes_ = {{this, "/healthz", &operators_server::health},
               {this, "/readyz", &operators_server::readiness},
               {this, "/metrics", &operators_server::metrics},
               {this, status_path, &operators_server::status},
               {this, audit_path, &operators_server::audit},
               {this, explain_path, &operators_server::explain}};
}

outcome<std::shared_ptr<operators_server>>
operators_server::open(const endpoint& listen_endpoint, const daemon_info& info,
                       std::shared_ptr<status_board> board,
                       std::shared_ptr<event_reporter> events,
                       std::shared_ptr<decide_ring> decide_inputs)
{
    std::shared_ptr<operators_server> server(new operators_server(
        info, std::move(board), std::move(events), std::move(decide_inputs)));
    const std::string listen_address = to_string(listen_endpoint);
    std::array<const char*, 9> options{"listening_ports",
                                       listen_address.c_str(),
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
                       "operators' HTTP cannot listen on " + listen_address};
    }
    for (route& each : server->routes_)
    {
        mg_set_request_handler(server->context_, each.path.data(),
                               &operators_server::handle_request, &each);
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

int operators_server::handle_request(mg_connection* connection, void* user_data)
{
    const route& matched_route = *static_cast<const route*>(user_data);
    const mg_request_info* request = mg_get_request_info(connection);
    response result{405, "text/plain", "only GET is served\n"};
    if (std::string_view(request->request_method) == "GET")
    {
        const std::string query =
            request->query_string == nullptr ? "" : request->query_string;
        result = (matched_route.server->*matched_route.handler)(query);
    }
    return send_response(connection, result.status, result.media_type,
                         result.body);
}

operators_server::response
operators_server::health(const std::string& /*query*/) const
{
    return {200, "text/plain", "ok\n"};
}

operators_server::response
operators_server::readiness(const std::string& /*query*/) const
{
    const auto decide = board_->latest_decide_snapshot.get();
    const char* reason = nullptr;
    if (board_->shutting_down)
    {
        reason = "shutting down";
    }
    else if (decide->version_in_effect == set_version{})
    {
        reason = "no published set in effect";
    }
    else if (!decide->may_open_flows)
    {
        reason = "no peer acknowledges this VM";
    }
    else if (decide->buckets.awaited > 0)
    {
        reason = "handovers of buckets are awaited";
    }
    return reason == nullptr
               ? response{200, "text/plain", "ready\n"}
               : response{503, "text/plain", std::string(reason) + "\n"};
}

operators_server::response
operators_server::metrics(const std::string& /*query*/) const
{
    metrics_snapshot snapshot = make_metrics(*board_, info_);
    for (std::size_t i = 0; i < severity_names().size(); ++i)
    {
        const auto level = static_cast<severity>(i);
        snapshot.events[std::string(to_string(level))] =
            static_cast<double>(events_->count(level));
    }
    return {200, "text/plain; version=0.0.4", metrics_text(snapshot)};
}

operators_server::response
operators_server::status(const std::string& /*query*/) const
{
    return {200, "application/json",
            to_json(make_status(*board_, info_, wall_now()))};
}

operators_server::response
operators_server::audit(const std::string& query) const
{
    const auto parsed_query = parse_audit_query(
        query_parameter(query, "after"), query_parameter(query, "limit"));
    if (!parsed_query)
    {
        return {400, "text/plain", parsed_query.error().message + "\n"};
    }
    audit_document document;
    document.daemon = {info_.vm, info_.name, info_.data_centre,
                       std::string(release()), wall_now()};
    document.dropped = events_->audit().dropped();
    for (const audit_entry& each : events_->audit().entries(
             parsed_query.value().after, parsed_query.value().limit))
    {
        document.entries.push_back(make_audit_line(each));
    }
    return {200, "application/json", to_json(document)};
}

operators_server::response
operators_server::explain(const std::string& query) const
{
    const auto key = parse_flow_key(query_parameter(query, "caller"),
                                    query_parameter(query, "public"),
                                    query_parameter(query, "protocol"));
    if (!key)
    {
        return {400, "text/plain", key.error().message + "\n"};
    }
    auto promise = std::make_shared<std::promise<explanation>>();
    auto pending_explanation = promise->get_future();
    const packet_facts packet{.key = key.value(),
                              .phase = flow_phase::established};
    if (!decide_inputs_->try_push(explain_requested{packet, promise}) ||
        pending_explanation.wait_for(explain_timeout) !=
            std::future_status::ready)
    {
        return {503, "text/plain", "the decide thread is busy\n"};
    }
    explain_document document =
        make_explain_document(key.value(), pending_explanation.get());
    document.daemon = {info_.vm, info_.name, info_.data_centre,
                       std::string(release()), wall_now()};
    return {200, "application/json", to_json(document)};
}

} // namespace catkinkeel
