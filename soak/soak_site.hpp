#pragma once

// The environment of the daemons in a soak, simulated on the thread of one
// `io_context`: the store and its proxies, routers, callers and backend
// servers. Also injects the faults of the schedule.

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

/// Sends a command to the script that runs the daemons, e.g. "kill 3".
using command_sender =
    std::function<void(std::string_view command, std::uint32_t daemon)>;
/// Writes a line to the soak's log.
using log_handler = std::function<void(const std::string&)>;

class soak_site
{
public:
    soak_site(boost::asio::io_context& context, const soak_plan& plan,
              command_sender send_command, log_handler write_log);

    /// Starts the soak; `on_finished` is called after the daemons have been
    /// stopped.
    void start(std::function<void()> on_finished);

    /// A daemon's process has exited.
    void handle_exit(std::uint32_t daemon, int status);

    [[nodiscard]] const invariant_checker& checker() const
    {
        return checker_;
    }

private:
    /// State of a daemon's process according to the commands sent.
    struct daemon_process
    {
        bool running = false;
        bool paused = false;
        /// When the soak stopped or killed the process.
        std::optional<instant> stop_request_time;
        bool killed = false;
    };
    using fault_action = void (soak_site::*)(const scheduled_fault&);
    static fault_action find_action(fault_kind kind);

    void stop_daemon(const scheduled_fault& fault);
    void kill_daemon(const scheduled_fault& fault);
    void kill_all_daemons(const scheduled_fault& fault);
    void pause_daemon(const scheduled_fault& fault);
    void reload_daemon(const scheduled_fault& fault);
    void delay_store(const scheduled_fault& fault);
    void reset_store(const scheduled_fault& fault);
    void silence_store(const scheduled_fault& fault);
    void cut_answers(const scheduled_fault& fault);
    void silence_store_for_all(const scheduled_fault& fault);
    void lose_history(const scheduled_fault& fault);
    void crash_target(const scheduled_fault& fault);
    void fail_answers(const scheduled_fault& fault);
    void silence_target(const scheduled_fault& fault);
    void drain_target(const scheduled_fault& fault);
    void withdraw_entry(const scheduled_fault& fault);
    void damage_entry(const scheduled_fault& fault);
    void move_reference(const scheduled_fault& fault);
    void publish_reference(const scheduled_fault& fault);
    void withdraw_reference(const scheduled_fault& fault);
    void evacuate(const scheduled_fault& fault);

    void start_daemon(std::uint32_t daemon);
    void kill_process(std::uint32_t daemon);
    void inject_store_fault(std::uint32_t daemon, proxy_mode mode,
                            duration fault_duration);
    void restart_target(backend& target);
    /// Whether each service has a target that has been available since `since`
    /// in a data centre that is not evacuated.
    [[nodiscard]] bool has_targets_since(instant since) const;
    void publish_configuration();
    void stop_load();
    void wait_for_flows();
    /// Records a global fault if the timer that was due at `due` fired late.
    void check_timer_delay(instant due);
    void stop_all_daemons();
    /// Runs `task` after `delay`; the handler keeps the timer alive.
    void run_after(duration delay, std::function<void()> task);
    [[nodiscard]] std::uint32_t daemon_index(const scheduled_fault& fault) const
    {
        return fault.random_index % plan_.daemon_count;
    }
    [[nodiscard]] backend& selected_target(const scheduled_fault& fault)
    {
        return *targets_[fault.random_index % plan_.target_count];
    }

    boost::asio::io_context& context_;
    soak_plan plan_;
    command_sender send_command_;
    log_handler write_log_;
    invariant_checker checker_;
    store_simulator store_;
    router router_;
    caller_simulator callers_;
    std::vector<std::unique_ptr<fault_proxy>> proxies_;
    std::vector<std::unique_ptr<backend>> targets_;
    std::vector<daemon_process> daemons_;
    /// Service index by reference index; empty while the reference is not
    /// published.
    std::vector<std::optional<std::uint32_t>> reference_services_;
    std::uint64_t configuration_version_ = 1;
    std::uint64_t target_restarts_ = 0;
    /// Faults and flows no longer start.
    bool load_stopped_ = false;
    /// Daemons that exit are not restarted.
    bool stopping_daemons_ = false;
    /// When the daemons are stopped even if flows are still open.
    instant flow_deadline_{};
    std::function<void()> on_finished_;
};

} // namespace catkinkeel::soak
