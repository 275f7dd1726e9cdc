#pragma once

// One daemon: its threads, the rings between them, and its life from start to
// graceful shutdown.
//
// Example:
//   auto started = entry_daemon::start(settings, events);
//   wait_for_signal();
//   started.value()->shut_down();

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/daemon/reporter.hpp"
#include "catkinkeel/settings/settings.hpp"

#include <memory>

namespace catkinkeel
{

class entry_daemon
{
public:
    /// Opens the sockets and starts the threads. Fails with the reason if an
    /// endpoint or the key file cannot be used; nothing runs then.
    static outcome<std::shared_ptr<entry_daemon>>
    start(const daemon_settings& settings,
          const std::shared_ptr<reporter>& events);

    /// Stops at once what still runs.
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Graceful: tells the peers, hands the buckets over, goes on relaying
    /// until no packet has come for 2 s, at most for the time limit of the
    /// settings. Blocks until then.
    void shut_down();

    /// Reads the key file again. The former keys stay if it is refused.
    void reload_keys();

private:
    struct implementation;

    explicit entry_daemon(std::unique_ptr<implementation> made);

    std::unique_ptr<implementation> implementation_;
};

} // namespace catkinkeel
