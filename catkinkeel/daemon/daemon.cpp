#include "catkinkeel/daemon/daemon.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/daemon/configuration_duty.hpp"
#include "catkinkeel/daemon/decider.hpp"
#include "catkinkeel/daemon/operators_server.hpp"
#include "catkinkeel/daemon/peers_duty.hpp"
#include "catkinkeel/daemon/report_duty.hpp"

#include <algorithm>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace catkinkeel
{

namespace
{

constexpr duration clock_period = 100ms;
/// Packets that the fabric still sends to a leaving VM are relayed for this
/// long after the last one.
constexpr duration quiet_before_exit = 2s;
/// A shutdown in which no bucket was handed over for this long ends: nobody who
/// is left claims them. A handover message takes 8 s of budget at most.
constexpr duration handover_stall_limit = 15s;
constexpr std::size_t list_ring_size = 4;
constexpr std::size_t chunk_ring_size = 1024;
constexpr std::size_t report_ring_size = 1024;
/// The control budget holds over each minute: a burst of up to 24 s of it and
/// 0.6 of the rate after it stay below. Handovers need the burst.
constexpr std::uint64_t budget_burst_seconds = 24;

budget_terms budget_of(const daemon_settings& settings)
{
    budget_terms terms;
    const std::uint64_t rate = settings.control_budget.value;
    terms.per_second = {rate * 6 / 10};
    terms.burst = {rate * budget_burst_seconds};
    return terms;
}

/// Whether another VM may own this VM's buckets.
bool somebody_takes_over(const member_view& view)
{
    return std::ranges::any_of(
        view.members, [&](const member& each)
        { return each.id != view.self && each.may_own_buckets(); });
}

std::string key_names(const key_ring& keys)
{
    std::string names = std::to_string(keys.current.id);
    if (keys.other)
    {
        names += ", " + std::to_string(keys.other->id);
    }
    return names;
}

} // namespace

struct entry_daemon::implementation
{
    implementation(const daemon_settings& given,
                   std::shared_ptr<reporter> reports)
        : settings(given),
          events(std::move(reports)),
          packets(std::make_shared<batch_queue>(given.packet_ring_capacity)),
          decide(std::make_shared<decide_ring>(given.control_ring_capacity)),
          configuration(std::make_shared<configuration_ring>(
              given.control_ring_capacity)),
          inbox(std::make_shared<bounded_ring<peer_message>>(
              given.control_ring_capacity)),
          lists(std::make_shared<vm_list_ring>(list_ring_size)),
          chunks(std::make_shared<chunk_ring>(chunk_ring_size)),
          reports_due(std::make_shared<report_ring>(report_ring_size)),
          board(std::make_shared<status_board>())
    {
    }

    outcome<done> open();
    void start_threads();
    void stop_threads();
    void receive();
    void tick();
    [[nodiscard]] configuration_parts parts_of_configuration() const;

    daemon_settings settings;
    std::shared_ptr<reporter> events;
    std::shared_ptr<batch_queue> packets;
    std::shared_ptr<decide_ring> decide;
    std::shared_ptr<configuration_ring> configuration;
    transport::inbox_ptr inbox;
    std::shared_ptr<vm_list_ring> lists;
    std::shared_ptr<chunk_ring> chunks;
    std::shared_ptr<report_ring> reports_due;
    std::shared_ptr<status_board> board;
    std::shared_ptr<std::atomic<std::uint64_t>> watch_after =
        std::make_shared<std::atomic<std::uint64_t>>(0);
    std::shared_ptr<std::atomic<std::int64_t>> last_version_report_at =
        std::make_shared<std::atomic<std::int64_t>>(
            steady_now().time_since_epoch().count());

    std::shared_ptr<udp_socket> socket;
    std::shared_ptr<transport> link;
    std::unique_ptr<peers_duty> peers;
    std::unique_ptr<index_watch> watch;
    std::unique_ptr<chunk_reader> chunk_reads;
    std::unique_ptr<report_reader_duty> report_reads;
    std::unique_ptr<vm_list_reader> list_reads;
    std::shared_ptr<operators_server> operators;
    bounded_ring<done> clock_stop{1};
    std::vector<std::jthread> threads;
    bool stopped = false;
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
                                   .budget = budget_of(settings)},
                                  inbox);
    if (!opened)
    {
        return opened.error();
    }
    link = std::move(opened).value();
    const daemon_facts facts{settings.id, settings.name, settings.data_centre,
                             wall_now(), settings.control_budget};
    auto server = operators_server::open(settings.operators, facts, board,
                                         events, decide);
    if (!server)
    {
        link->close();
        return server.error();
    }
    operators = std::move(server).value();
    return done{};
}

configuration_parts entry_daemon::implementation::parts_of_configuration() const
{
    return {configuration, decide, chunks,      link,
            board,         events, watch_after, last_version_report_at};
}

void entry_daemon::implementation::start_threads()
{
    peers = std::make_unique<peers_duty>(
        settings,
        peers_parts{inbox, lists, decide, configuration, link, board, events});
    watch = std::make_unique<index_watch>(settings, parts_of_configuration());
    chunk_reads =
        std::make_unique<chunk_reader>(settings, parts_of_configuration());
    report_reads = std::make_unique<report_reader_duty>(reports_due, decide);
    list_reads =
        std::make_unique<vm_list_reader>(settings, lists, board, events);
    threads.emplace_back([this] { receive(); });
    threads.emplace_back(
        [this]
        {
            decider(settings,
                    {packets, decide, reports_due, socket, link, board, events})
                .run();
        });
    threads.emplace_back([this] { peers->run(); });
    threads.emplace_back(
        [this]
        { configuration_duty(settings, parts_of_configuration()).run(); });
    threads.emplace_back([this] { watch->run(); });
    threads.emplace_back([this] { chunk_reads->run(); });
    threads.emplace_back([this] { report_reads->run(); });
    threads.emplace_back([this] { list_reads->run(); });
    threads.emplace_back([this] { tick(); });
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

void entry_daemon::implementation::tick()
{
    while (!clock_stop.pop_for(clock_period) && !clock_stop.closed())
    {
        decide->try_push(clock_tick{steady_now()});
        const std::uint64_t refused =
            decide->refused() + configuration->refused();
        const std::uint64_t before = board->control_refused.exchange(refused);
        if (refused > before)
        {
            events->report(event_number::ring_full,
                           {field("ring", std::string("control")),
                            field("count", refused - before)});
        }
        events->report_suppressed();
    }
}

void entry_daemon::implementation::stop_threads()
{
    if (std::exchange(stopped, true))
    {
        return;
    }
    operators.reset();
    clock_stop.close();
    // Writers that wait for room in these rings are woken first.
    decide->close();
    configuration->close();
    watch->stop();
    chunk_reads->stop();
    report_reads->stop();
    list_reads->stop();
    lists->close();
    link->close();
    socket->stop();
    packets->close();
    threads.clear();
}

entry_daemon::entry_daemon(std::unique_ptr<implementation> made)
    : implementation_(std::move(made))
{
}

outcome<std::shared_ptr<entry_daemon>>
entry_daemon::start(const daemon_settings& settings,
                    const std::shared_ptr<reporter>& events)
{
    auto made = std::make_unique<implementation>(settings, events);
    if (const auto opened = made->open(); !opened)
    {
        return opened.error();
    }
    made->start_threads();
    events->report(event_number::daemon_started,
                   {field("release", std::string(release())),
                    field("vm", settings.id.value),
                    field("data_centre", settings.data_centre.value)});
    events->report(event_number::operators_listening,
                   {field("endpoint", to_string(settings.operators))});
    return std::shared_ptr<entry_daemon>(new entry_daemon(std::move(made)));
}

entry_daemon::~entry_daemon()
{
    implementation_->stop_threads();
}

void entry_daemon::shut_down()
{
    implementation& self = *implementation_;
    const auto begun = self.board->decide.get();
    self.events->report(event_number::shutdown_started,
                        {field("flows", begun->flows.flows),
                         field("buckets", begun->buckets.held)});
    self.board->shutting_down = true;
    self.peers->shut_down();
    const instant start = steady_now();
    bounded_ring<done> sleep(1);
    bool finished = false;
    std::uint32_t held = begun->buckets.held;
    instant progress = start;
    while (!finished &&
           steady_now() - start < duration(self.settings.shutdown_time_limit) &&
           steady_now() - progress < handover_stall_limit)
    {
        sleep.pop_for(clock_period);
        const auto shown = self.board->decide.get();
        if (shown->buckets.held != held)
        {
            held = shown->buckets.held;
            progress = steady_now();
        }
        const instant last_packet{duration(self.board->last_packet_at.load())};
        // The snapshot is a second old at most; by then the view shows that
        // this VM has left.
        const bool handed_over =
            held == 0 || !somebody_takes_over(*self.board->view.get());
        finished = handed_over && steady_now() - start > quiet_before_exit &&
                   steady_now() - last_packet > quiet_before_exit;
        if (held == 0)
        {
            // Only late packets remain.
            progress = steady_now();
        }
    }
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(steady_now() - start)
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
             field("buckets", self.board->decide.get()->buckets.held)});
    }
    self.stop_threads();
}

void entry_daemon::reload_keys()
{
    implementation& self = *implementation_;
    const auto keys = read_key_ring(self.settings.key_file);
    const change_origin origin{{self.board->in_effect.load()}, "SIGHUP", ""};
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
                        {field("key", std::to_string(keys.value().current.id)),
                         field("accepted", key_names(keys.value()))},
                        origin);
}

} // namespace catkinkeel
