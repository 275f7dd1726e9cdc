#pragma once

// Duties that read over HTTP: the load reports of targets and the platform's
// list of VMs. Each runs on a thread of its own.

#include "catkinkeel/daemon/configuration_duty.hpp"
#include "catkinkeel/daemon/peers_duty.hpp"

#include <memory>

namespace catkinkeel
{

/// Reads the load reports that the decide thread requests.
class load_report_reader
{
public:
    load_report_reader(std::shared_ptr<load_report_ring> requests,
                       std::shared_ptr<decide_ring> decide_inputs);
    /// Runs until the ring of requests is closed.
    void run();
    /// Ends `run` and cancels a read in progress. May be called by any thread.
    void stop();

private:
    std::shared_ptr<load_report_ring> requests_;
    std::shared_ptr<decide_ring> decide_inputs_;
    report_client client_;
};

/// Reads the platform's list of VMs, with a pause of 5 s after each read.
class vm_list_reader : public http_reader_duty
{
public:
    vm_list_reader(const daemon_settings& settings,
                   std::shared_ptr<vm_list_ring> vm_lists,
                   std::shared_ptr<status_board> board,
                   std::shared_ptr<event_reporter> events);
    void run() override;
    void stop() override;

private:
    void read_once();

    daemon_settings settings_;
    std::shared_ptr<vm_list_ring> vm_lists_;
    std::shared_ptr<status_board> board_;
    std::shared_ptr<event_reporter> events_;
    configuration_client client_;
    /// Whether the last read succeeded. Initially true, so that a failure of
    /// the first read is reported.
    bool reachable_ = true;
    /// When the first failed read since the last success started.
    instant unreachable_since_{};
};

} // namespace catkinkeel
