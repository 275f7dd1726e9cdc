#pragma once

// The daemon of one entry VM: starts and stops its threads and connects them by
// bounded rings.
//
// Example:
//   auto started = entry_daemon::start(settings, events);
//   wait_for_signal();
//   started.value()->shut_down();

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/daemon/event_reporter.hpp"
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
          const std::shared_ptr<event_reporter>& events);

    /// Stops all threads without waiting for handovers.
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Shuts down gracefully: notifies the peers, hands the buckets over and
    /// keeps relaying until no packet has arrived for 2 s. Blocks until then,
    /// but at most for the time limit of the settings, and no longer if buckets
    /// remain and none of them is handed over for 15 s.
    void shut_down();

    /// Reads the key file again. The previous keys stay in use if it cannot be
    /// read or is invalid.
    void reload_keys();

private:
    struct implementation;

    explicit entry_daemon(std::unique_ptr<implementation> created);

    std::unique_ptr<implementation> implementation_;
};

} // namespace catkinkeel
