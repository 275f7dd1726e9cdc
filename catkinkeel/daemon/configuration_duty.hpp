#pragma once

// The configuration thread, which determines the published set in effect, and
// the threads that read the platform's configuration service for it.

#include "catkinkeel/contract/set_store.hpp"
#include "catkinkeel/daemon/event_reporter.hpp"
#include "catkinkeel/daemon/inputs.hpp"
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

/// Objects that the configuration threads share with the other threads.
struct configuration_dependencies
{
    std::shared_ptr<configuration_ring> inputs;
    std::shared_ptr<decide_ring> decide_inputs;
    std::shared_ptr<chunk_read_ring> chunk_reads;
    std::shared_ptr<transport> link;
    std::shared_ptr<status_board> board;
    std::shared_ptr<event_reporter> events;
    /// The watch of the index returns only set versions newer than this.
    std::shared_ptr<std::atomic<std::uint64_t>> watch_after;
    /// When a peer or the configuration service last reported a version, in
    /// nanoseconds of the monotonic clock.
    std::shared_ptr<std::atomic<std::int64_t>> last_version_received_at;
};

/// Passes inputs to the `set_store` and performs the actions that it returns.
/// Runs on the configuration thread.
class configuration_duty
{
public:
    configuration_duty(const daemon_settings& settings,
                       configuration_dependencies dependencies);

    /// Runs until the ring of inputs is closed.
    void run();

private:
    store_outputs handle_input(const configuration_input& input, instant now);
    void handle_output(const store_output& output, instant now);
    void handle_output(const set_accepted& accepted, instant now);
    void handle_output(const set_refused& refused, instant now);
    void handle_output(const set_ignored& ignored, instant now);
    void handle_output(const set_incomplete& incomplete, instant now);
    void handle_output(const document_rejected& rejected, instant now);
    void handle_output(const send_chunk_request& request_to_send, instant now);
    void handle_output(const send_chunk_part& part_to_send, instant now);
    void handle_output(const read_chunk& read_request, instant now);

    daemon_settings settings_;
    configuration_dependencies dependencies_;
    set_store store_;
    placement_plan_ptr plan_;
    configuration_snapshot snapshot_;
};

/// Base of the duties that read over HTTP periodically: a stop flag and a sleep
/// that `stop` interrupts.
class http_reader_duty
{
public:
    virtual ~http_reader_duty() = default;

    virtual void run() = 0;
    /// Ends `run`. May be called by any thread.
    virtual void stop();

protected:
    /// Sleeps for `time`, or until `stop` is called. Returns false once
    /// stopped.
    bool sleep_for(duration time);
    [[nodiscard]] bool stopped() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable stop_condition_;
    bool stopped_ = false;
};

/// Watches the index of the configuration service by long polls while this VM
/// is to read it according to `should_watch_service`.
class index_watcher : public http_reader_duty
{
public:
    index_watcher(const daemon_settings& settings,
                  configuration_dependencies dependencies);
    void run() override;
    void stop() override;

private:
    void watch_once();

    daemon_settings settings_;
    configuration_dependencies dependencies_;
    configuration_client client_;
    random_source random_;
    /// Whether the last read succeeded. Initially true, so that a failure of
    /// the first read is reported.
    bool reachable_ = true;
    /// When the first failed read since the last success ended.
    instant unreachable_since_{};
};

/// Reads the chunks that the configuration thread requests.
class chunk_reader
{
public:
    chunk_reader(const daemon_settings& settings,
                 configuration_dependencies dependencies);
    /// Runs until the ring of requests is closed.
    void run();
    /// Ends `run` and cancels a read in progress. May be called by any thread.
    void stop();

private:
    configuration_dependencies dependencies_;
    configuration_client client_;
};

} // namespace catkinkeel
