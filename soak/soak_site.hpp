#pragma once

// The surroundings of the daemons in a soak, on the thread of one `io_context`:
// store and proxies, routers, callers, backend servers, and the faults.

#include "soak/backends.hpp"
#include "soak/callers.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/plan.hpp"
#include "soak/router.hpp"
#include "soak/schedule.hpp"
#include "soak/store_simulator.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel::soak
{

/// Orders to whoever runs the daemons' processes, e.g. "kill 3".
using process_orders =
    std::function<void(std::string_view order, std::uint32_t daemon)>;
/// A line of the soak's log.
using log_line = std::function<void(const std::string&)>;

class soak_site
{
public:
    soak_site(boost::asio::io_context& context, const soak_plan& plan,
              process_orders orders, log_line log);

    /// Begins; `ended` is called when everything has stopped.
    void start(std::function<void()> ended);

    /// A daemon's process has ended.
    void note_exit(std::uint32_t daemon, int status);

    [[nodiscard]] const invariant_checker& checker() const
    {
        return checker_;
    }

private:
    /// A process of a daemon as the soak left it.
    struct process
    {
        bool running = false;
        bool paused = false;
        /// Set when it was told to end.
        std::optional<instant> told;
        bool killed = false;
    };
    using apply_fault = void (soak_site::*)(const scheduled_fault&);
    static apply_fault action_of(fault kind);

    void stop_daemon(const scheduled_fault& what);
    void kill_daemon(const scheduled_fault& what);
    void kill_all_daemons(const scheduled_fault& what);
    void pause_daemon(const scheduled_fault& what);
    void reload_daemon(const scheduled_fault& what);
    void delay_store(const scheduled_fault& what);
    void reset_store(const scheduled_fault& what);
    void silence_store(const scheduled_fault& what);
    void cut_answers(const scheduled_fault& what);
    void silence_store_for_all(const scheduled_fault& what);
    void lose_history(const scheduled_fault& what);
    void crash_target(const scheduled_fault& what);
    void drain_target(const scheduled_fault& what);
    void withdraw_entry(const scheduled_fault& what);
    void damage_entry(const scheduled_fault& what);
    void move_reference(const scheduled_fault& what);
    void publish_reference(const scheduled_fault& what);
    void withdraw_reference(const scheduled_fault& what);
    void evacuate(const scheduled_fault& what);

    void start_daemon(std::uint32_t daemon);
    void kill(std::uint32_t daemon);
    void link_fault(std::uint32_t daemon, link_mode mode, duration length);
    void end_target(backend& target);
    void publish();
    void begin_end();
    void wait_for_callers();
    /// Notes when this thread is served late.
    void watch_lateness(instant due);
    void finish();
    /// Runs `work` after `wait`; the timer keeps itself alive.
    void later(duration wait, std::function<void()> work);
    [[nodiscard]] std::uint32_t daemon_of(const scheduled_fault& what) const
    {
        return what.subject % plan_.daemons;
    }
    [[nodiscard]] backend& target_of(const scheduled_fault& what)
    {
        return *targets_[what.subject % plan_.targets];
    }

    boost::asio::io_context& context_;
    soak_plan plan_;
    process_orders orders_;
    log_line log_;
    invariant_checker checker_;
    store_simulator store_;
    router routers_;
    caller_site callers_;
    std::vector<std::unique_ptr<fault_proxy>> proxies_;
    std::vector<std::unique_ptr<backend>> targets_;
    std::vector<process> processes_;
    /// Service by reference number; empty while it is not published.
    std::vector<std::optional<std::uint32_t>> references_;
    std::uint64_t version_ = 1;
    std::uint64_t changes_ = 0;
    /// No further faults and flows begin.
    bool calming_ = false;
    /// Daemons that end are not started again.
    bool ending_ = false;
    instant end_by_{};
    std::function<void()> ended_;
};

} // namespace catkinkeel::soak
