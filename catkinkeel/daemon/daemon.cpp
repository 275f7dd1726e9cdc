#include "catkinkeel/daemon/daemon.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/daemon/configuration_duty.hpp"
#include "catkinkeel/daemon/decider.hpp"
#include "catkinkeel/daemon/http_readers.hpp"
#include "catkinkeel/daemon/operators_server.hpp"
#include "catkinkeel/daemon/peers_duty.hpp"

#include <algorithm>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace catkinkeel
{

namespace
{

/// Period of the ticks of the decide thread, and of the checks for the end of a
/// shutdown.
constexpr duration tick_period = 100ms;
/// Time without a packet after which a leaving VM may exit. Until then it
/// relays the packets that the fabric still sends to it.
constexpr duration exit_quiet_period = 2s;
/// Time without a bucket handed over after which a shutdown stops waiting,
/// since no remaining VM claims the buckets. One handover message uses at most
/// 8 s of the control budget.
constexpr duration handover_stall_timeout = 15s;
constexpr std::size_t vm_list_ring_capacity = 4;
constexpr std::size_t chunk_read_ring_capacity = 1024;
constexpr std::size_t load_report_ring_capacity = 1024;
/// The control budget limits the bytes sent in each minute: a burst worth 24 s
/// of it and a rate of 0.6 of it after the burst stay within the limit.
/// Handovers need the burst.
constexpr std::uint64_t budget_burst_seconds = 24;

byte_budget_settings control_budget_of(const daemon_settings& settings)
{
    byte_budget_settings budget;
    const std::uint64_t rate = settings.control_budget.value;
    budget.bytes_per_second = {rate * 6 / 10};
    budget.burst = {rate * budget_burst_seconds};
    return budget;
}

/// Whether a VM other than this one may own buckets, and so take over those of
/// this VM.
bool another_vm_may_own_buckets(const member_view& view)
{
    return std::ranges::any_of(
        view.members, [&](const member& each)
        { return each.id != view.self && each.may_own_buckets(); });
}

std::string key_id_list(const key_ring& keys)
{
    std::string id_list = std::to_string(keys.primary.id);
    if (keys.secondary)
    {
        id_list += ", " + std::to_string(keys.secondary->id);
    }
    return id_list;
}

} // namespace

struct entry_daemon::implementation
{
    implementation(const daemon_settings& initial_settings,
                   std::shared_ptr<event_reporter> initial_events)
        : settings(initial_settings),
          events(std::move(initial_events)),
          packets(std::make_shared<batch_queue>(
              initial_settings.packet_ring_capacity)),
          decide_inputs(std::make_shared<decide_ring>(
              initial_settings.control_ring_capacity)),
          configuration_inputs(std::make_shared<configuration_ring>(
              initial_settings.control_ring_capacity)),
          inbox(std::make_shared<bounded_ring<peer_message>>(
              initial_settings.control_ring_capacity)),
          vm_lists(std::make_shared<vm_list_ring>(vm_list_ring_capacity)),
          chunk_reads(
              std::make_shared<chunk_read_ring>(chunk_read_ring_capacity)),
          load_report_requests(
              std::make_shared<load_report_ring>(load_report_ring_capacity)),
          board(std::make_shared<status_board>())
    {
    }

    outcome<done> open();
    void start_threads();
    void stop_threads();
    void receive();
    void run_ticker();
    [[nodiscard]] configuration_dependencies
    make_configuration_dependencies() const;

    daemon_settings settings;
    std::shared_ptr<event_reporter> events;
    std::shared_ptr<batch_queue> packets;
    std::shared_ptr<decide_ring> decide_inputs;
    std::shared_ptr<configuration_ring> configuration_inputs;
    transport::inbox_ptr inbox;
    std::shared_ptr<vm_list_ring> vm_lists;
    std::shared_ptr<chunk_read_ring> chunk_reads;
    std::shared_ptr<load_report_ring> load_report_requests;
    std::shared_ptr<status_board> board;
    std::shared_ptr<std::atomic<std::uint64_t>> watch_after =
        std::make_shared<std::atomic<std::uint64_t>>(0);
    std::shared_ptr<std::atomic<std::int64_t>> last_version_received_at =
        std::make_shared<std::atomic<std::int64_t>>(
            steady_now().time_since_epoch().count());

    std::shared_ptr<udp_socket> socket;
    std::shared_ptr<transport> link;
    std::unique_ptr<peers_duty> peers;
    std::unique_ptr<index_watcher> index_watch_duty;
    std::unique_ptr<chunk_reader> chunk_reader_duty;
    std::unique_ptr<load_report_reader> load_report_duty;
    std::unique_ptr<vm_list_reader> vm_list_duty;
    std::shared_ptr<operators_server> operators;
    bounded_ring<done> ticker_stop{1};
    std::vector<std::jthread> threads;
    bool threads_stopped = false;
};

outcome<done> entry_daemon::implementation::open()
{
    const auto keys = read_key_ring(settings.key_file);
    if (!keys)
    {
        return keys.error();
    }
    auto packet_socket = udp_socket::open(settings.packets);
    if (!packet_socket)
    {
        return packet_socket.error();
    }
    socket = std::move(packet_socket).value();
    auto opened = transport::open({.self = settings.id,
                                   .listen = settings.control,
                                   .keys = keys.value(),
                                   .budget = control_budget_of(settings)},
                                  inbox);
    if (!opened)
    {
        return opened.error();
    }
    link = std::move(opened).value();
    const daemon_info info{settings.id, settings.name, settings.data_centre,
                           wall_now(), settings.control_budget};
    auto server = operators_server::open(settings.operators, info, board,
                                         events, decide_inputs);
    if (!server)
    {
        link->close();
        return server.error();
    }
    operators = std::move(server).value();
    return done{};
}

configuration_dependencies
entry_daemon::implementation::make_configuration_dependencies() const
{
    return {configuration_inputs,
            decide_inputs,
            chunk_reads,
            link,
            board,
            events,
            watch_after,
            last_version_received_at};
}

void entry_daemon::implementation::start_threads()
{
    peers = std::make_unique<peers_duty>(
        settings,
        peers_dependencies{inbox, vm_lists, decide_inputs, configuration_inputs,
                           link, board, events});
    index_watch_duty = std::make_unique<index_watcher>(
        settings, make_configuration_dependencies());
    chunk_reader_duty = std::make_unique<chunk_reader>(
        settings, make_configuration_dependencies());
    load_report_duty = std::make_unique<load_report_reader>(
        load_report_requests, decide_inputs);
    vm_list_duty =
        std::make_unique<vm_list_reader>(settings, vm_lists, board, events);
    threads.emplace_back([this] { receive(); });
    threads.emplace_back(
        [this]
        {
            decider(settings, {packets, decide_inputs, load_report_requests,
                               socket, link, board, events})
                .run();
        });
    threads.emplace_back([this] { peers->run(); });
    threads.emplace_back(
        [this] {
            configuration_duty(settings, make_configuration_dependencies())
                .run();
        });
    threads.emplace_back([this] { index_watch_duty->run(); });
    threads.emplace_back([this] { chunk_reader_duty->run(); });
    threads.emplace_back([this] { load_report_duty->run(); });
    threads.emplace_back([this] { vm_list_duty->run(); });
    threads.emplace_back([this] { run_ticker(); });
}

void entry_daemon::implementation::receive()
{
    while (auto batch = packets->take_empty())
    {
        const receive_status status = socket->receive(*batch, 1s);
        if (status == receive_status::stopped)
        {
            return;
        }
        if (status == receive_status::received)
        {
            packets->put_filled(std::move(*batch));
        }
        else
        {
            packets->put_empty(std::move(*batch));
        }
    }
}

void entry_daemon::implementation::run_ticker()
{
    while (!ticker_stop.pop_for(tick_period) && !ticker_stop.closed())
    {
        decide_inputs->try_push(clock_tick{steady_now()});
        const std::uint64_t refused =
            decide_inputs->refused() + configuration_inputs->refused();
        const std::uint64_t previous =
            board->control_inputs_refused.exchange(refused);
        if (refused > previous)
        {
            events->report(event_number::ring_full,
                           {field("ring", std::string("control")),
                            field("count", refused - previous)});
        }
        events->report_suppressed();
    }
}

void entry_daemon::implementation::stop_threads()
{
    if (std::exchange(threads_stopped, true))
    {
        return;
    }
    operators.reset();
    ticker_stop.close();
    // First wakes the threads that wait for room in these rings, so that they
    // can end.
    decide_inputs->close();
    configuration_inputs->close();
    index_watch_duty->stop();
    chunk_reader_duty->stop();
    load_report_duty->stop();
    vm_list_duty->stop();
    vm_lists->close();
    link->close();
    socket->stop();
    packets->close();
    threads.clear();
}

entry_daemon::entry_daemon(std::unique_ptr<implementation> created)
    : implementation_(std::move(created))
{
}

outcome<std::shared_ptr<entry_daemon>>
entry_daemon::start(const daemon_settings& settings,
                    const std::shared_ptr<event_reporter>& events)
{
    auto created = std::make_unique<implementation>(settings, events);
    if (const auto opened = created->open(); !opened)
    {
        return opened.error();
    }
    created->start_threads();
    events->report(event_number::daemon_started,
                   {field("release", std::string(release())),
                    field("vm", settings.id.value),
                    field("data_centre", settings.data_centre.value)});
    events->report(event_number::operators_listening,
                   {field("endpoint", to_string(settings.operators))});
    return std::shared_ptr<entry_daemon>(new entry_daemon(std::move(created)));
}

entry_daemon::~entry_daemon()
{
    implementation_->stop_threads();
}

void entry_daemon::shut_down()
{
    implementation& self = *implementation_;
    const auto initial_snapshot = self.board->latest_decide_snapshot.get();
    self.events->report(event_number::shutdown_started,
                        {field("flows", initial_snapshot->stats.flows),
                         field("buckets", initial_snapshot->buckets.held)});
    self.board->shutting_down = true;
    self.peers->request_leave();
    const instant shutdown_started_at = steady_now();
    bounded_ring<done> timer(1);
    bool finished = false;
    std::uint32_t held_buckets = initial_snapshot->buckets.held;
    instant last_progress_at = shutdown_started_at;
    while (!finished &&
           steady_now() - shutdown_started_at <
               duration(self.settings.shutdown_time_limit) &&
           steady_now() - last_progress_at < handover_stall_timeout)
    {
        timer.pop_for(tick_period);
        const auto latest_snapshot = self.board->latest_decide_snapshot.get();
        if (latest_snapshot->buckets.held != held_buckets)
        {
            held_buckets = latest_snapshot->buckets.held;
            last_progress_at = steady_now();
        }
        const instant last_packet_at{
            duration(self.board->last_packet_at.load())};
        // The snapshot is at most 1 s old. When the quiet period has passed, it
        // was made from a view in which this VM has left.
        const bool handed_over =
            held_buckets == 0 ||
            !another_vm_may_own_buckets(*self.board->latest_view.get());
        finished = handed_over &&
                   steady_now() - shutdown_started_at > exit_quiet_period &&
                   steady_now() - last_packet_at > exit_quiet_period;
        if (held_buckets == 0)
        {
            // Only late packets remain to be relayed; the stall timeout does
            // not apply.
            last_progress_at = steady_now();
        }
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
                             steady_now() - shutdown_started_at)
                             .count();
    if (finished)
    {
        self.events->report(event_number::shutdown_finished,
                            {field("seconds", seconds)});
    }
    else
    {
        self.events->report(
            event_number::shutdown_time_limit,
            {field("seconds", seconds),
             field("buckets",
                   self.board->latest_decide_snapshot.get()->buckets.held)});
    }
    self.stop_threads();
}

void entry_daemon::reload_keys()
{
    implementation& self = *implementation_;
    const auto keys = read_key_ring(self.settings.key_file);
    const change_origin origin{
        {self.board->version_in_effect.load()}, "SIGHUP", ""};
    if (!keys)
    {
        self.events->report(event_number::key_file_refused,
                            {field("file", self.settings.key_file),
                             field("reason", keys.error().message)},
                            origin);
        return;
    }
    self.link->replace_keys(keys.value());
    self.events->report(event_number::key_changed,
                        {field("key", std::to_string(keys.value().primary.id)),
                         field("accepted", key_id_list(keys.value()))},
                        origin);
}

} // namespace catkinkeel
