#include "catkinkeel/daemon/http_readers.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/vm/parse_vm_list.hpp"

#include <string>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr duration vm_list_period = 5s;

failure_kind failure_kind_of(http_failure_kind kind)
{
    switch (kind)
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

load_report_reader::load_report_reader(
    std::shared_ptr<load_report_ring> requests,
    std::shared_ptr<decide_ring> decide_inputs)
    : requests_(std::move(requests)), decide_inputs_(std::move(decide_inputs))
{
}

void load_report_reader::run()
{
    while (const auto request = requests_->pop())
    {
        const text_answer answer = client_.read_load(request->report_endpoint);
        if (const auto* text = std::get_if<std::string>(&answer))
        {
            decide_inputs_->push(
                load_report_read{request->target, parse_load_report(*text)});
        }
        else
        {
            const auto& failed = std::get<http_failure>(answer);
            decide_inputs_->push(load_report_read{
                request->target,
                failure{failure_kind_of(failed.kind), failed.message}});
        }
    }
}

void load_report_reader::stop()
{
    requests_->close();
    client_.stop();
}

vm_list_reader::vm_list_reader(const daemon_settings& settings,
                               std::shared_ptr<vm_list_ring> vm_lists,
                               std::shared_ptr<status_board> board,
                               std::shared_ptr<event_reporter> events)
    : settings_(settings),
      vm_lists_(std::move(vm_lists)),
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
    } while (sleep_for(vm_list_period));
}

void vm_list_reader::read_once()
{
    const instant requested_at = steady_now();
    const text_answer answer = client_.read_vms();
    std::string error_message;
    if (const auto* text = std::get_if<std::string>(&answer))
    {
        auto list = parse_vm_list(*text, requested_at);
        if (list)
        {
            vm_lists_->try_push(std::move(list).value());
        }
        else
        {
            error_message = list.error().message;
        }
    }
    else
    {
        error_message = std::get<http_failure>(answer).message;
    }
    const bool succeeded = error_message.empty();
    if (!succeeded && reachable_ && !stopped())
    {
        unreachable_since_ = requested_at;
        events_->report(event_number::vm_list_unreachable,
                        {field("endpoint", to_string(settings_.vm_list)),
                         field("reason", error_message)});
    }
    if (succeeded && !reachable_)
    {
        events_->report(
            event_number::vm_list_reachable,
            {field("endpoint", to_string(settings_.vm_list)),
             field("seconds", std::chrono::duration_cast<std::chrono::seconds>(
                                  requested_at - unreachable_since_)
                                  .count())});
    }
    reachable_ = succeeded;
    board_->vm_list_reachable = succeeded;
}

void vm_list_reader::stop()
{
    http_reader_duty::stop();
    client_.stop();
}

} // namespace catkinkeel
