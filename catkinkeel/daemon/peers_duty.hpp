#pragma once

// The peers thread: maintains the member view, and dispatches received messages
// to the threads that handle them.

#include "catkinkeel/daemon/event_reporter.hpp"
#include "catkinkeel/daemon/inputs.hpp"
#include "catkinkeel/daemon/status_board.hpp"
#include "catkinkeel/link/transport.hpp"
#include "catkinkeel/settings/settings.hpp"
#include "catkinkeel/vm/membership.hpp"

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace catkinkeel
{

using vm_list_ring = bounded_ring<vm_list>;

/// Objects that the peers thread shares with the other threads.
struct peers_dependencies
{
    transport::inbox_ptr inbox;
    std::shared_ptr<vm_list_ring> vm_lists;
    std::shared_ptr<decide_ring> decide_inputs;
    std::shared_ptr<configuration_ring> configuration_inputs;
    std::shared_ptr<transport> link;
    std::shared_ptr<status_board> board;
    std::shared_ptr<event_reporter> events;
};

/// `run` runs on the peers thread; `request_leave` may be called by any thread.
class peers_duty
{
public:
    peers_duty(const daemon_settings& settings,
               peers_dependencies dependencies);

    /// Runs until the inbox is closed.
    void run();

    /// Makes the next tick of `run` send `leave` messages, so that the peers
    /// claim the buckets of this VM. Does not end `run`.
    void request_leave()
    {
        leave_requested_ = true;
    }

private:
    void handle(const peer_message& received, instant now);
    void tick(instant now);
    void send(const vm_outbox& messages, instant now);
    void publish_view(instant now);
    /// Reports an event for each member whose state has changed, and passes
    /// dead members to the configuration thread.
    void report_changes(const member_view& before, const member_view& after);
    /// Publishes to the decide thread whether this VM may open flows or act as
    /// steward: every 500 ms, and at once when the permission to open flows
    /// changes.
    void publish_permissions(instant now);
    void publish_snapshot(instant now);

    daemon_settings settings_;
    peers_dependencies dependencies_;
    membership membership_;
    std::atomic<bool> leave_requested_{false};
    bool leave_sent_ = false;
    std::uint64_t published_revision_ = 0;
    member_view published_view_;
    std::optional<instant> last_tick_at_;
    std::optional<instant> last_permissions_at_;
    bool last_may_open_flows_ = false;
    /// The byte counts of the transport since its start, read at `at`.
    struct traffic_sample
    {
        instant at;
        byte_count sent;
        byte_count received;
    };
    /// Samples of the last 60 s, oldest first. The difference between the last
    /// and the first one is the traffic of the last minute.
    std::deque<traffic_sample> traffic_samples_;
};

} // namespace catkinkeel
