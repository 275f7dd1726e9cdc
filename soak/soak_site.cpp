#include "soak/soak_site.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace catkinkeel::soak
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// The platform starts a process again after this time.
constexpr duration restart_delay = 500ms;
/// Entries of a target that ended without a word are removed after this time.
constexpr duration entry_lapses_after = 3s;
/// A target starts again after this time: its entry is gone, and its address
/// may be another's (2 s).
constexpr duration target_restarts_after = 5600ms;
/// Longest life of a flow, with repetitions.
constexpr duration last_flows = 40s;
constexpr duration idle_check_period = 500ms;
/// The soak's own timers are watched: while they are this late, the machine is
/// too busy to judge whether a flow opened in time.
constexpr duration watch_period = 50ms;
constexpr duration tolerated_lateness = 150ms;
/// How much longer than its grace the soak waits for the end of a process.
constexpr duration exit_slack = 2s;

} // namespace

soak_site::soak_site(asio::io_context& context, const soak_plan& plan,
                     process_orders orders, log_line log)
    : context_(context),
      plan_(plan),
      orders_(std::move(orders)),
      log_(std::move(log)),
      checker_(plan.daemons),
      store_(context, plan.store()),
      routers_(context, plan_),
      callers_(context, plan_, routers_, checker_,
               [this](std::uint32_t daemon) {
                   return processes_[daemon].running &&
                          !processes_[daemon].paused;
               }),
      processes_(plan.daemons),
      references_(reference_count)
{
    for (std::uint32_t i = 0; i < plan_.daemons; ++i)
    {
        proxies_.push_back(std::make_unique<fault_proxy>(
            context, plan_.proxy(i), plan_.store()));
    }
    for (std::uint32_t i = 0; i < plan_.targets; ++i)
    {
        targets_.push_back(std::make_unique<backend>(
            context, plan_, i, store_, checker_, callers_.open()));
    }
}

soak_site::apply_fault soak_site::action_of(fault kind)
{
    constexpr std::array<apply_fault, fault_count> actions{
        &soak_site::stop_daemon,       &soak_site::kill_daemon,
        &soak_site::kill_all_daemons,  &soak_site::pause_daemon,
        &soak_site::reload_daemon,     &soak_site::delay_store,
        &soak_site::reset_store,       &soak_site::silence_store,
        &soak_site::cut_answers,       &soak_site::silence_store_for_all,
        &soak_site::lose_history,      &soak_site::crash_target,
        &soak_site::drain_target,      &soak_site::withdraw_entry,
        &soak_site::damage_entry,      &soak_site::move_reference,
        &soak_site::publish_reference, &soak_site::withdraw_reference,
        &soak_site::evacuate};
    return actions.at(static_cast<std::size_t>(kind));
}

void soak_site::later(duration wait, std::function<void()> work)
{
    const auto timer = std::make_shared<asio::steady_timer>(context_, wait);
    timer->async_wait([timer, work = std::move(work)](error_code) { work(); });
}

void soak_site::start(std::function<void()> ended)
{
    ended_ = std::move(ended);
    for (std::uint32_t i = 0; i < lasting_references; ++i)
    {
        references_[i] = i % service_count;
    }
    for (const auto& each : targets_)
    {
        each->start(false);
    }
    publish();
    checker_.troubled(steady_now() + recovery_bound);
    for (std::uint32_t i = 0; i < plan_.daemons; ++i)
    {
        start_daemon(i);
    }
    routers_.start();
    callers_.start();
    watch_lateness(steady_now());
    for (const scheduled_fault& each : make_schedule(plan_))
    {
        later(each.at,
              [this, each]
              {
                  if (!calming_)
                  {
                      log_(std::string(to_string(each.kind)) + " " +
                           std::to_string(each.subject) + " " +
                           std::to_string(each.length / 1ms) + " ms");
                      (this->*action_of(each.kind))(each);
                  }
              });
    }
    later(plan_.length, [this] { begin_end(); });
}

void soak_site::begin_end()
{
    // Flows go on until their callers end them, and daemons are restarted.
    calming_ = true;
    callers_.stop();
    end_by_ = steady_now() + last_flows;
    wait_for_callers();
}

void soak_site::wait_for_callers()
{
    if (callers_.idle() || steady_now() >= end_by_)
    {
        finish();
        return;
    }
    later(idle_check_period, [this] { wait_for_callers(); });
}

void soak_site::watch_lateness(instant due)
{
    const instant now = steady_now();
    if (now - due > tolerated_lateness)
    {
        log_("timers late by " + std::to_string((now - due) / 1ms) + " ms");
        checker_.troubled(now);
    }
    later(watch_period,
          [this, next = now + watch_period] { watch_lateness(next); });
}

void soak_site::finish()
{
    ending_ = true;
    for (std::uint32_t i = 0; i < plan_.daemons; ++i)
    {
        if (processes_[i].running)
        {
            processes_[i].told = steady_now();
            orders_("term", i);
        }
    }
    later(grace + exit_slack, [this] { ended_(); });
}

// Daemons

void soak_site::start_daemon(std::uint32_t daemon)
{
    processes_[daemon] = {.running = true};
    checker_.disturbed(daemon, steady_now());
    orders_("start", daemon);
}

void soak_site::note_exit(std::uint32_t daemon, int status)
{
    const process& ended = processes_.at(daemon);
    checker_.exited(daemon, status, ended.told.has_value(),
                    ended.killed || !ended.told ||
                        steady_now() - *ended.told <= grace);
    processes_[daemon] = {};
    if (!ending_)
    {
        later(restart_delay, [this, daemon] { start_daemon(daemon); });
    }
}

void soak_site::stop_daemon(const scheduled_fault& what)
{
    process& stopped = processes_[daemon_of(what)];
    if (stopped.running && !stopped.paused && !stopped.told)
    {
        stopped.told = steady_now();
        checker_.disturbed(daemon_of(what), steady_now() + grace);
        orders_("term", daemon_of(what));
    }
}

void soak_site::kill(std::uint32_t daemon)
{
    process& killed = processes_[daemon];
    if (killed.running)
    {
        killed.told = killed.told.value_or(steady_now());
        killed.killed = true;
        checker_.disturbed(daemon, steady_now() + restart_delay);
        checker_.troubled(steady_now() + restart_delay + recovery_bound);
        orders_("kill", daemon);
    }
}

void soak_site::kill_daemon(const scheduled_fault& what)
{
    kill(daemon_of(what));
}

void soak_site::kill_all_daemons(const scheduled_fault& /*what*/)
{
    for (std::uint32_t i = 0; i < plan_.daemons; ++i)
    {
        kill(i);
    }
}

void soak_site::pause_daemon(const scheduled_fault& what)
{
    const std::uint32_t daemon = daemon_of(what);
    process& paused = processes_[daemon];
    if (!paused.running || paused.paused || paused.told)
    {
        return;
    }
    paused.paused = true;
    const instant until = steady_now() + what.length;
    checker_.disturbed(daemon, until);
    checker_.troubled(until + recovery_bound);
    orders_("pause", daemon);
    later(what.length,
          [this, daemon]
          {
              if (std::exchange(processes_[daemon].paused, false))
              {
                  orders_("resume", daemon);
              }
          });
}

void soak_site::reload_daemon(const scheduled_fault& what)
{
    if (processes_[daemon_of(what)].running)
    {
        orders_("reload", daemon_of(what));
    }
}

// The store

void soak_site::link_fault(std::uint32_t daemon, link_mode mode,
                           duration length)
{
    fault_proxy& proxy = *proxies_[daemon];
    proxy.set_mode(mode);
    checker_.disturbed(daemon, steady_now() + length);
    later(length,
          [&proxy, mode]
          {
              if (proxy.mode() == mode)
              {
                  proxy.set_mode(link_mode::normal);
              }
          });
}

void soak_site::delay_store(const scheduled_fault& what)
{
    link_fault(daemon_of(what), link_mode::delayed, what.length);
}

void soak_site::reset_store(const scheduled_fault& what)
{
    link_fault(daemon_of(what), link_mode::reset, what.length);
}

void soak_site::silence_store(const scheduled_fault& what)
{
    link_fault(daemon_of(what), link_mode::silent, what.length);
}

void soak_site::cut_answers(const scheduled_fault& what)
{
    link_fault(daemon_of(what), link_mode::answers_cut, what.length);
}

void soak_site::silence_store_for_all(const scheduled_fault& what)
{
    for (std::uint32_t i = 0; i < plan_.daemons; ++i)
    {
        link_fault(i, link_mode::silent, what.length);
    }
}

void soak_site::lose_history(const scheduled_fault& /*what*/)
{
    store_.lose_history();
}

// Targets

void soak_site::end_target(backend& target)
{
    target.crash();
    const bool same_identity = ++changes_ % 3 == 0;
    if (!same_identity)
    {
        later(entry_lapses_after, [&target] { target.withdraw(); });
    }
    later(target_restarts_after,
          [&target, same_identity] { target.start(same_identity); });
}

void soak_site::crash_target(const scheduled_fault& what)
{
    backend& target = target_of(what);
    if (target.running() && !target.draining())
    {
        checker_.troubled(steady_now() + target_restarts_after +
                          recovery_bound);
        end_target(target);
    }
}

void soak_site::drain_target(const scheduled_fault& what)
{
    backend& target = target_of(what);
    if (!target.running() || target.draining())
    {
        return;
    }
    target.drain();
    checker_.draining(target.process(), steady_now());
    later(drain_bound + what.length, [this, &target] { end_target(target); });
}

void soak_site::withdraw_entry(const scheduled_fault& what)
{
    backend& target = target_of(what);
    if (target.running() && !target.draining())
    {
        target.withdraw();
        later(what.length,
              [&target]
              {
                  if (target.running())
                  {
                      target.announce();
                  }
              });
    }
}

void soak_site::damage_entry(const scheduled_fault& what)
{
    constexpr std::array<const char*, 4> entries{
        "{", R"({"service":7,"address":"x"})",
        R"({"service":"orderdesk","address":"127.0.0.1:1","zone":"dc-a",)"
        R"("version":"v1","concurrency":2,"state":"sleeping",)"
        R"("warmup_left_ms":0,"sequence":1})",
        "\xff\xfe"};
    store_.put("servers/i-bad" + std::to_string(what.subject % 8),
               entries.at(what.subject % entries.size()));
}

// The operator

void soak_site::publish()
{
    nlohmann::json routes = nlohmann::json::array();
    std::map<endpoint, std::uint32_t> services;
    std::vector<endpoint> to_open;
    for (std::uint32_t i = 0; i < reference_count; ++i)
    {
        const std::optional<std::uint32_t> service = references_[i];
        if (!service)
        {
            continue;
        }
        const endpoint reference = soak_plan::reference(i);
        routes.push_back(
            {{"name", "r" + std::to_string(i)},
             {"host", to_string(reference.address)},
             {"prefix", "/" + std::to_string(reference.port) + "/"},
             {"kind", "safe"},
             {"service", service_name(*service)}});
        services.emplace(reference, *service);
        if (i < lasting_references)
        {
            to_open.push_back(reference);
        }
    }
    nlohmann::json described = nlohmann::json::array();
    for (std::uint32_t i = 0; i < service_count; ++i)
    {
        described.push_back({{"name", service_name(i)}});
    }
    version_ += 3;
    store_.put("op/config", nlohmann::json{{"version", version_},
                                           {"routes", routes},
                                           {"services", described},
                                           {"limits", nlohmann::json::object()}}
                                .dump());
    checker_.published(std::move(services), steady_now());
    callers_.set_references(std::move(to_open));
}

void soak_site::move_reference(const scheduled_fault& what)
{
    auto& service = references_[what.subject % lasting_references];
    service = (*service + 1) % service_count;
    publish();
}

void soak_site::publish_reference(const scheduled_fault& what)
{
    references_[lasting_references + what.subject % passing_references] =
        what.subject % service_count;
    publish();
}

void soak_site::withdraw_reference(const scheduled_fault& what)
{
    references_[lasting_references + what.subject % passing_references].reset();
    publish();
}

void soak_site::evacuate(const scheduled_fault& what)
{
    const std::string data_centre = soak_plan::data_centre(what.subject);
    store_.put("op/evacuate/" + data_centre, "{}");
    checker_.evacuated(data_centre, true, steady_now());
    later(what.length,
          [this, data_centre]
          {
              store_.remove("op/evacuate/" + data_centre);
              checker_.evacuated(data_centre, false, steady_now());
          });
}

} // namespace catkinkeel::soak
