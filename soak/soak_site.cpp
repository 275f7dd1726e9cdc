#include "soak/soak_site.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace catkinkeel::soak
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// Time after which the platform restarts a daemon.
constexpr duration daemon_restart_delay = 500ms;
/// Time after which the announcement of a crashed target expires.
constexpr duration announcement_expiry_delay = 3s;
/// Time after which a target restarts. By then its announcement has expired
/// and, 2 s later, its address may be reused.
constexpr duration target_restart_delay = 5600ms;
/// Upper bound for the duration of a flow, including retransmissions.
/// Added to a fault's duration for the time for which a silent target stays in
/// the store. Exceeds `silence_limit` and the time between two requests.
constexpr duration silent_target_listing_time = 6s;
/// Time from the end of an announcement until the address is used again.
constexpr duration address_reuse_delay =
    target_restart_delay - announcement_expiry_delay;
constexpr duration flow_end_timeout = 40s;
constexpr duration flow_check_period = 500ms;
/// Period of the check that the soak's own timers fire in time.
constexpr duration timer_check_period = 50ms;
/// If timers fire later than this, the machine is too busy to judge whether a
/// flow opened in time.
constexpr duration max_timer_delay = 150ms;
/// Time beyond the grace period that the soak waits for daemons to exit.
constexpr duration exit_tolerance = 2s;

} // namespace

soak_site::soak_site(asio::io_context& context, const soak_plan& plan,
                     command_sender send_command, log_handler write_log)
    : context_(context),
      plan_(plan),
      send_command_(std::move(send_command)),
      write_log_(std::move(write_log)),
      checker_(plan.daemon_count),
      store_(context, plan.store_endpoint()),
      router_(context, plan_),
      callers_(
          context, plan_, router_, checker_,
          [this](std::uint32_t daemon)
          { return daemons_[daemon].running && !daemons_[daemon].paused; },
          [this](instant since) { return has_targets_since(since); }),
      daemons_(plan.daemon_count),
      reference_services_(reference_count)
{
    for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
    {
        proxies_.push_back(std::make_unique<fault_proxy>(
            context, plan_.proxy_endpoint(i), plan_.store_endpoint()));
    }
    for (std::uint32_t i = 0; i < plan_.target_count; ++i)
    {
        targets_.push_back(std::make_unique<backend>(
            context, plan_, i, store_, checker_, callers_.flow_targets()));
    }
}

soak_site::fault_action soak_site::find_action(fault_kind kind)
{
    constexpr std::array<fault_action, fault_kind_count> actions{
        &soak_site::stop_daemon,       &soak_site::kill_daemon,
        &soak_site::kill_all_daemons,  &soak_site::pause_daemon,
        &soak_site::reload_daemon,     &soak_site::delay_store,
        &soak_site::reset_store,       &soak_site::silence_store,
        &soak_site::cut_answers,       &soak_site::silence_store_for_all,
        &soak_site::lose_history,      &soak_site::crash_target,
        &soak_site::drain_target,      &soak_site::withdraw_entry,
        &soak_site::damage_entry,      &soak_site::move_reference,
        &soak_site::publish_reference, &soak_site::withdraw_reference,
        &soak_site::evacuate,          &soak_site::fail_answers,
        &soak_site::silence_target};
    return actions.at(static_cast<std::size_t>(kind));
}

void soak_site::run_after(duration delay, std::function<void()> task)
{
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, task = std::move(task)](error_code) { task(); });
}

void soak_site::start(std::function<void()> on_finished)
{
    on_finished_ = std::move(on_finished);
    for (std::uint32_t i = 0; i < permanent_reference_count; ++i)
    {
        reference_services_[i] = i % service_count;
    }
    for (const auto& each : targets_)
    {
        each->start(false);
    }
    publish_configuration();
    checker_.record_global_fault(steady_now() + recovery_limit);
    for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
    {
        start_daemon(i);
    }
    router_.start();
    callers_.start();
    check_timer_delay(steady_now());
    for (const scheduled_fault& each : make_schedule(plan_))
    {
        run_after(each.start_offset,
                  [this, each]
                  {
                      if (!load_stopped_)
                      {
                          write_log_(std::string(to_string(each.kind)) + " " +
                                     std::to_string(each.random_index) + " " +
                                     std::to_string(each.fault_duration / 1ms) +
                                     " ms");
                          (this->*find_action(each.kind))(each);
                      }
                  });
    }
    run_after(plan_.active_time, [this] { stop_load(); });
}

void soak_site::stop_load()
{
    // Open flows continue until their callers close them, and daemons are still
    // restarted.
    load_stopped_ = true;
    callers_.stop();
    flow_deadline_ = steady_now() + flow_end_timeout;
    wait_for_flows();
}

void soak_site::wait_for_flows()
{
    if (callers_.has_no_flows() || steady_now() >= flow_deadline_)
    {
        stop_all_daemons();
        return;
    }
    run_after(flow_check_period, [this] { wait_for_flows(); });
}

void soak_site::check_timer_delay(instant due)
{
    const instant now = steady_now();
    if (now - due > max_timer_delay)
    {
        write_log_("timers late by " + std::to_string((now - due) / 1ms) +
                   " ms");
        checker_.record_global_fault(now);
    }
    run_after(timer_check_period, [this, next = now + timer_check_period]
              { check_timer_delay(next); });
}

void soak_site::stop_all_daemons()
{
    stopping_daemons_ = true;
    for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
    {
        if (daemons_[i].running)
        {
            daemons_[i].stop_request_time = steady_now();
            send_command_("term", i);
        }
    }
    run_after(grace_period + exit_tolerance, [this] { on_finished_(); });
}

// Daemons

void soak_site::start_daemon(std::uint32_t daemon)
{
    daemons_[daemon] = {.running = true};
    checker_.record_daemon_fault(daemon, steady_now());
    checker_.record_daemon_start(daemon, steady_now());
    send_command_("start", daemon);
}

void soak_site::handle_exit(std::uint32_t daemon, int status)
{
    const daemon_process& process = daemons_.at(daemon);
    checker_.record_daemon_exit(
        daemon, status, process.stop_request_time.has_value(),
        process.killed || !process.stop_request_time ||
            steady_now() - *process.stop_request_time <= grace_period);
    daemons_[daemon] = {};
    if (!stopping_daemons_)
    {
        run_after(daemon_restart_delay,
                  [this, daemon] { start_daemon(daemon); });
    }
}

void soak_site::stop_daemon(const scheduled_fault& fault)
{
    daemon_process& process = daemons_[daemon_index(fault)];
    if (process.running && !process.paused && !process.stop_request_time)
    {
        process.stop_request_time = steady_now();
        checker_.record_daemon_fault(daemon_index(fault),
                                     steady_now() + grace_period);
        send_command_("term", daemon_index(fault));
    }
}

void soak_site::kill_process(std::uint32_t daemon)
{
    daemon_process& process = daemons_[daemon];
    if (process.running)
    {
        process.stop_request_time =
            process.stop_request_time.value_or(steady_now());
        process.killed = true;
        checker_.record_daemon_fault(daemon,
                                     steady_now() + daemon_restart_delay);
        checker_.record_global_fault(steady_now() + daemon_restart_delay +
                                     recovery_limit);
        send_command_("kill", daemon);
    }
}

void soak_site::kill_daemon(const scheduled_fault& fault)
{
    kill_process(daemon_index(fault));
}

void soak_site::kill_all_daemons(const scheduled_fault& /*fault*/)
{
    for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
    {
        kill_process(i);
    }
}

void soak_site::pause_daemon(const scheduled_fault& fault)
{
    const std::uint32_t daemon = daemon_index(fault);
    daemon_process& process = daemons_[daemon];
    if (!process.running || process.paused || process.stop_request_time)
    {
        return;
    }
    process.paused = true;
    const instant until = steady_now() + fault.fault_duration;
    checker_.record_daemon_fault(daemon, until);
    checker_.record_global_fault(until + recovery_limit);
    send_command_("pause", daemon);
    run_after(fault.fault_duration,
              [this, daemon]
              {
                  if (std::exchange(daemons_[daemon].paused, false))
                  {
                      checker_.record_daemon_start(daemon, steady_now());
                      send_command_("resume", daemon);
                  }
              });
}

void soak_site::reload_daemon(const scheduled_fault& fault)
{
    if (daemons_[daemon_index(fault)].running)
    {
        send_command_("reload", daemon_index(fault));
    }
}

// Metadata store

void soak_site::inject_store_fault(std::uint32_t daemon, proxy_mode mode,
                                   duration fault_duration)
{
    fault_proxy& proxy = *proxies_[daemon];
    proxy.set_mode(mode);
    checker_.record_daemon_fault(daemon, steady_now() + fault_duration);
    run_after(fault_duration,
              [&proxy, mode]
              {
                  if (proxy.mode() == mode)
                  {
                      proxy.set_mode(proxy_mode::normal);
                  }
              });
}

void soak_site::delay_store(const scheduled_fault& fault)
{
    inject_store_fault(daemon_index(fault), proxy_mode::delay_all,
                       fault.fault_duration);
}

void soak_site::reset_store(const scheduled_fault& fault)
{
    inject_store_fault(daemon_index(fault), proxy_mode::reset,
                       fault.fault_duration);
}

void soak_site::silence_store(const scheduled_fault& fault)
{
    inject_store_fault(daemon_index(fault), proxy_mode::drop_all,
                       fault.fault_duration);
}

void soak_site::cut_answers(const scheduled_fault& fault)
{
    inject_store_fault(daemon_index(fault), proxy_mode::drop_responses,
                       fault.fault_duration);
}

void soak_site::silence_store_for_all(const scheduled_fault& fault)
{
    for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
    {
        inject_store_fault(i, proxy_mode::drop_all, fault.fault_duration);
    }
}

void soak_site::lose_history(const scheduled_fault& /*fault*/)
{
    store_.lose_history();
}

// Targets

void soak_site::restart_target(backend& target)
{
    target.crash();
    const bool keep_identity = ++target_restarts_ % 3 == 0;
    if (!keep_identity)
    {
        run_after(announcement_expiry_delay, [&target] { target.withdraw(); });
    }
    run_after(target_restart_delay,
              [&target, keep_identity] { target.start(keep_identity); });
}

void soak_site::crash_target(const scheduled_fault& fault)
{
    backend& target = selected_target(fault);
    if (target.running() && !target.draining())
    {
        checker_.record_global_fault(steady_now() + target_restart_delay +
                                     recovery_limit);
        restart_target(target);
    }
}

void soak_site::fail_answers(const scheduled_fault& fault)
{
    backend& target = selected_target(fault);
    target.set_failing(true);
    run_after(fault.fault_duration, [&target] { target.set_failing(false); });
}

void soak_site::silence_target(const scheduled_fault& fault)
{
    backend& target = selected_target(fault);
    if (!target.running() || target.draining())
    {
        return;
    }
    const duration listing_time =
        silent_target_listing_time + fault.fault_duration;
    checker_.record_global_fault(steady_now() + listing_time +
                                 address_reuse_delay + recovery_limit);
    target.crash();
    run_after(listing_time, [&target] { target.withdraw(); });
    run_after(listing_time + address_reuse_delay,
              [&target] { target.start(false); });
}

bool soak_site::has_targets_since(instant since) const
{
    std::array<bool, service_count> found{};
    for (std::uint32_t i = 0; i < plan_.target_count; ++i)
    {
        const auto available = targets_[i]->available_since();
        if (available && *available <= since &&
            !checker_.is_evacuated(soak_plan::data_centre_name(i)))
        {
            found.at(targets_[i]->service_index()) = true;
        }
    }
    return std::ranges::all_of(found, std::identity());
}

void soak_site::drain_target(const scheduled_fault& fault)
{
    backend& target = selected_target(fault);
    if (!target.running() || target.draining())
    {
        return;
    }
    target.drain();
    checker_.record_draining_target(target.current_process(), steady_now());
    run_after(drain_limit + fault.fault_duration,
              [this, &target] { restart_target(target); });
}

void soak_site::withdraw_entry(const scheduled_fault& fault)
{
    backend& target = selected_target(fault);
    if (target.running() && !target.draining())
    {
        target.withdraw();
        run_after(fault.fault_duration,
                  [&target]
                  {
                      if (target.running())
                      {
                          target.announce();
                      }
                  });
    }
}

void soak_site::damage_entry(const scheduled_fault& fault)
{
    constexpr std::array<const char*, 4> invalid_entries{
        "{", R"({"service":7,"address":"x"})",
        R"({"service":"orderdesk","address":"127.0.0.1:1","zone":"dc-a",)"
        R"("version":"v1","concurrency":2,"state":"sleeping",)"
        R"("warmup_left_ms":0,"sequence":1})",
        "\xff\xfe"};
    store_.put("servers/i-bad" + std::to_string(fault.random_index % 8),
               invalid_entries.at(fault.random_index % invalid_entries.size()));
}

// Operator

void soak_site::publish_configuration()
{
    nlohmann::json routes_json = nlohmann::json::array();
    std::map<endpoint, std::uint32_t> services;
    std::vector<endpoint> permanent_references;
    for (std::uint32_t i = 0; i < reference_count; ++i)
    {
        const std::optional<std::uint32_t> service = reference_services_[i];
        if (!service)
        {
            continue;
        }
        const endpoint reference = soak_plan::reference_endpoint(i);
        routes_json.push_back(
            {{"name", "r" + std::to_string(i)},
             {"host", to_string(reference.address)},
             {"prefix", "/" + std::to_string(reference.port) + "/"},
             {"kind", terms_by_reference.at(i).kind},
             {"priority", terms_by_reference.at(i).priority},
             {"aim_ms", terms_by_reference.at(i).latency_goal_ms},
             {"timeout_ms", terms_by_reference.at(i).timeout_ms},
             {"service", service_name(*service)}});
        services.emplace(reference, *service);
        if (i < permanent_reference_count)
        {
            permanent_references.push_back(reference);
        }
    }
    nlohmann::json services_json = nlohmann::json::array();
    for (std::uint32_t i = 0; i < service_count; ++i)
    {
        services_json.push_back({{"name", service_name(i)}});
    }
    configuration_version_ += 3;
    store_.put("op/config", nlohmann::json{{"version", configuration_version_},
                                           {"routes", routes_json},
                                           {"services", services_json},
                                           {"limits", nlohmann::json::object()}}
                                .dump());
    checker_.record_publication(std::move(services), steady_now());
    callers_.set_references(std::move(permanent_references));
}

void soak_site::move_reference(const scheduled_fault& fault)
{
    auto& service =
        reference_services_[fault.random_index % permanent_reference_count];
    service = (*service + 1) % service_count;
    publish_configuration();
}

void soak_site::publish_reference(const scheduled_fault& fault)
{
    reference_services_[permanent_reference_count +
                        fault.random_index % temporary_reference_count] =
        fault.random_index % service_count;
    publish_configuration();
}

void soak_site::withdraw_reference(const scheduled_fault& fault)
{
    reference_services_[permanent_reference_count +
                        fault.random_index % temporary_reference_count]
        .reset();
    publish_configuration();
}

void soak_site::evacuate(const scheduled_fault& fault)
{
    const std::string data_centre =
        soak_plan::data_centre_name(fault.random_index);
    store_.put("op/evacuate/" + data_centre, "{}");
    checker_.record_evacuation(data_centre, true, steady_now());
    run_after(fault.fault_duration,
              [this, data_centre]
              {
                  store_.remove("op/evacuate/" + data_centre);
                  checker_.record_evacuation(data_centre, false, steady_now());
              });
}

} // namespace catkinkeel::soak
