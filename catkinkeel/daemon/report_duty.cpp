#include "catkinkeel/daemon/report_duty.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/vm/parse_vm_list.hpp"

#include <string>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr duration list_period = 5s;

failure_kind kind_of(http_failure_kind problem)
{
    switch (problem)
    {
    case http_failure_kind::unreachable:
    case http_failure_kind::stopped:
        return failure_kind::unavailable;
    case http_failure_kind::timeout:
        return failure_kind::timeout;
    case http_failure_kind::oversized:
        return failure_kind::limit_exceeded;
    default:
        return failure_kind::invalid_input;
    }
}

} // namespace

report_reader_duty::report_reader_duty(std::shared_ptr<report_ring> orders,
                                       std::shared_ptr<decide_ring> decide)
    : orders_(std::move(orders)), decide_(std::move(decide))
{
}

void report_reader_duty::run()
{
    while (const auto order = orders_->pop())
    {
        const text_answer answer = client_.read_load(order->where);
        if (const auto* text = std::get_if<std::string>(&answer))
        {
            decide_->push(report_read{order->target, parse_load_report(*text)});
        }
        else
        {
            const auto& failed = std::get<http_failure>(answer);
            decide_->push(
                report_read{order->target,
                            failure{kind_of(failed.problem), failed.message}});
        }
    }
}

void report_reader_duty::stop()
{
    orders_->close();
    client_.stop();
}

vm_list_reader::vm_list_reader(const daemon_settings& settings,
                               std::shared_ptr<vm_list_ring> lists,
                               std::shared_ptr<status_board> board,
                               std::shared_ptr<reporter> events)
    : settings_(settings),
      lists_(std::move(lists)),
      board_(std::move(board)),
      events_(std::move(events)),
      client_(settings.vm_list)
{
}

void vm_list_reader::run()
{
    do
    {
        read_once();
    } while (pause(list_period));
}

void vm_list_reader::read_once()
{
    const instant asked_at = steady_now();
    const text_answer answer = client_.read_vms();
    std::string problem;
    if (const auto* text = std::get_if<std::string>(&answer))
    {
        auto list = parse_vm_list(*text, asked_at);
        if (list)
        {
            lists_->try_push(std::move(list).value());
        }
        else
        {
            problem = list.error().message;
        }
    }
    else
    {
        problem = std::get<http_failure>(answer).message;
    }
    const bool reached = problem.empty();
    if (!reached && reachable_ && !stopped())
    {
        lost_at_ = asked_at;
        events_->report(event_number::vm_list_unreachable,
                        {field("endpoint", to_string(settings_.vm_list)),
                         field("reason", problem)});
    }
    if (reached && !reachable_)
    {
        events_->report(
            event_number::vm_list_reachable,
            {field("endpoint", to_string(settings_.vm_list)),
             field("seconds", std::chrono::duration_cast<std::chrono::seconds>(
                                  asked_at - lost_at_)
                                  .count())});
    }
    reachable_ = reached;
    board_->vm_list_up = reached;
}

void vm_list_reader::stop()
{
    reading_duty::stop();
    client_.stop();
}

} // namespace catkinkeel
