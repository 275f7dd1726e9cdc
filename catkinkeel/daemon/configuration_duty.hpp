#pragma once

// The configuration thread, which decides what set is in effect, and the
// threads that read the platform's configuration service for it.

#include "catkinkeel/contract/set_store.hpp"
#include "catkinkeel/daemon/inputs.hpp"
#include "catkinkeel/daemon/reporter.hpp"
#include "catkinkeel/daemon/status_board.hpp"
#include "catkinkeel/link/transport.hpp"
#include "catkinkeel/publication/configuration_client.hpp"
#include "catkinkeel/settings/settings.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace catkinkeel
{

struct configuration_parts
{
    std::shared_ptr<configuration_ring> inputs;
    std::shared_ptr<decide_ring> decide;
    std::shared_ptr<chunk_ring> chunks;
    std::shared_ptr<transport> link;
    std::shared_ptr<status_board> board;
    std::shared_ptr<reporter> events;
    /// Version after which the index is watched, and when a version was last
    /// heard of (nanoseconds of the monotonic clock).
    std::shared_ptr<std::atomic<std::uint64_t>> watch_after;
    std::shared_ptr<std::atomic<std::int64_t>> last_version_report_at;
};

/// Runs on the configuration thread.
class configuration_duty
{
public:
    configuration_duty(const daemon_settings& settings,
                       configuration_parts parts);

    /// Runs until the ring of inputs is closed.
    void run();

private:
    store_outputs apply(const configuration_input& input, instant now);
    void carry_out(const store_output& output, instant now);
    void carry_out(const set_accepted& accepted, instant now);
    void carry_out(const set_refused& refused, instant now);
    void carry_out(const set_ignored& ignored, instant now);
    void carry_out(const set_incomplete& incomplete, instant now);
    void carry_out(const document_rejected& rejected, instant now);
    void carry_out(const send_chunk_request& ask, instant now);
    void carry_out(const send_chunk_part& answer, instant now);
    void carry_out(const read_chunk& order, instant now);

    daemon_settings settings_;
    configuration_parts parts_;
    set_store store_;
    placement_plan_ptr plan_;
    configuration_snapshot shown_;
};

/// A thread that reads over HTTP, with what it needs to pause and stop.
class reading_duty
{
public:
    virtual ~reading_duty() = default;

    virtual void run() = 0;
    /// Ends `run`. May be called by any thread.
    virtual void stop();

protected:
    /// Sleeps for `time`; returns false once stopped.
    bool pause(duration time);
    [[nodiscard]] bool stopped() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable woken_;
    bool stopped_ = false;
};

/// Watches the index while this VM is a reader.
class index_watch : public reading_duty
{
public:
    index_watch(const daemon_settings& settings, configuration_parts parts);
    void run() override;
    void stop() override;

private:
    void watch_once();

    daemon_settings settings_;
    configuration_parts parts_;
    configuration_client client_;
    random_source random_;
    bool reachable_ = true;
    instant lost_at_{};
};

/// Reads the chunks that the configuration thread orders.
class chunk_reader
{
public:
    chunk_reader(const daemon_settings& settings, configuration_parts parts);
    /// Runs until the ring of orders is closed.
    void run();
    void stop();

private:
    configuration_parts parts_;
    configuration_client client_;
};

} // namespace catkinkeel
