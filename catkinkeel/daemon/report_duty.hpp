#pragma once

// Threads that read the targets' load reports and the platform's list of VMs.

#include "catkinkeel/daemon/configuration_duty.hpp"
#include "catkinkeel/daemon/peers_duty.hpp"

#include <memory>

namespace catkinkeel
{

/// Reads the reports that the decide thread orders.
class report_reader_duty
{
public:
    report_reader_duty(std::shared_ptr<report_ring> orders,
                       std::shared_ptr<decide_ring> decide);
    /// Runs until the ring of orders is closed.
    void run();
    void stop();

private:
    std::shared_ptr<report_ring> orders_;
    std::shared_ptr<decide_ring> decide_;
    report_client client_;
};

/// Reads the list of VMs every 5 s.
class vm_list_reader : public reading_duty
{
public:
    vm_list_reader(const daemon_settings& settings,
                   std::shared_ptr<vm_list_ring> lists,
                   std::shared_ptr<status_board> board,
                   std::shared_ptr<reporter> events);
    void run() override;
    void stop() override;

private:
    void read_once();

    daemon_settings settings_;
    std::shared_ptr<vm_list_ring> lists_;
    std::shared_ptr<status_board> board_;
    std::shared_ptr<reporter> events_;
    configuration_client client_;
    bool reachable_ = true;
    instant lost_at_{};
};

} // namespace catkinkeel
