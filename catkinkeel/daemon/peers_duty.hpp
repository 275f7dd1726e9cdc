#pragma once

// The peers thread: keeps the member view, sorts received messages to the
// threads that handle them.

#include "catkinkeel/daemon/inputs.hpp"
#include "catkinkeel/daemon/reporter.hpp"
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

struct peers_parts
{
    transport::inbox_ptr inbox;
    std::shared_ptr<vm_list_ring> lists;
    std::shared_ptr<decide_ring> decide;
    std::shared_ptr<configuration_ring> configuration;
    std::shared_ptr<transport> link;
    std::shared_ptr<status_board> board;
    std::shared_ptr<reporter> events;
};

/// `run` runs on the peers thread; `shut_down` may be called by any thread.
class peers_duty
{
public:
    peers_duty(const daemon_settings& settings, peers_parts parts);

    /// Runs until the inbox is closed.
    void run();

    /// Tells the peers that this VM leaves, so that they claim its buckets.
    void shut_down()
    {
        leaving_ = true;
    }

private:
    void handle(const peer_message& received, instant now);
    void tick(instant now);
    void send(const vm_outbox& letters, instant now);
    void publish_view(instant now);
    void report_changes(const member_view& before, const member_view& after);
    void publish_standing(instant now);
    void publish_snapshot(instant now);

    daemon_settings settings_;
    peers_parts parts_;
    membership fleet_;
    std::atomic<bool> leaving_{false};
    bool left_ = false;
    std::uint64_t published_revision_ = 0;
    member_view published_;
    std::optional<instant> last_tick_;
    std::optional<instant> last_standing_;
    bool last_may_open_ = false;
    /// Traffic of the last 60 seconds.
    struct traffic_sample
    {
        instant at;
        byte_count sent;
        byte_count received;
    };
    std::deque<traffic_sample> traffic_;
};

} // namespace catkinkeel
