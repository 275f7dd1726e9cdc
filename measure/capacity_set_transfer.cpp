// Measures in virtual time how long a daemon takes to fetch a whole published
// set at its start, or a change of one object, from 32 peers that are limited
// by their byte budgets and from the configuration service.

#include "catkinkeel/contract/set_store.hpp"
#include "catkinkeel/contract/write_documents.hpp"
#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/envelope.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "measure/design_size.hpp"

using namespace catkinkeel;

namespace capacity
{

namespace
{

constexpr instant start_time{1000s};
constexpr vm_id starting_vm{1000};
/// Delay to and from the configuration service and the peers.
constexpr duration one_way_delay = 5ms;
constexpr std::uint64_t burst_seconds = 24;

using chunk_texts = std::map<std::string, std::string>;

chunk_texts texts_of(const set_documents& documents)
{
    chunk_texts texts;
    for (const auto& chunk : documents.chunks)
    {
        texts.emplace(chunk.entry.hash, chunk.text);
    }
    return texts;
}

/// Passes all documents to the store, as read from the configuration service.
void fill_store(set_store& store, const set_documents& documents)
{
    const chunk_texts texts = texts_of(documents);
    store_outputs pending_outputs =
        store.handle_index(documents.index, start_time);
    while (!pending_outputs.empty())
    {
        store_outputs next_outputs;
        for (const store_output& each : pending_outputs)
        {
            if (const auto* read = std::get_if<read_chunk>(&each))
            {
                std::ranges::move(store.handle_chunk(read->name, read->hash,
                                                     texts.at(read->hash),
                                                     start_time),
                                  std::back_inserter(next_outputs));
            }
        }
        if (next_outputs.empty() && !store.in_effect())
        {
            // Without peers the store puts a set of the service into effect
            // only after `store_settings::peer_report_timeout`.
            next_outputs = store.tick(start_time + 2s);
        }
        pending_outputs = std::move(next_outputs);
    }
}

/// Documents of version 2. It differs from version 1 in the wish of one target.
set_documents changed_documents(std::uint32_t target_count)
{
    published_objects objects = make_objects(target_count, 2);
    objects.targets.back().wish = target_wish::drain;
    return split_set(objects);
}

/// State of the daemon when it starts to fetch version 2.
enum class initial_state
{
    /// No set; the peers have announced the version.
    version_from_peers,
    /// No set; the daemon has also read the index from the service.
    index_from_service,
    /// Version 1 is in effect.
    previous_version
};

class fetching_daemon
{
public:
    /// Each peer may send `bytes_per_second` and a burst of `burst_seconds` of
    /// it if `full_burst`, else of one second.
    fetching_daemon(std::uint32_t target_count, initial_state initial,
                    std::uint64_t bytes_per_second, bool full_burst)
        : documents_(changed_documents(target_count)),
          texts_(texts_of(documents_)),
          initial_(initial),
          peer_store_(start_time, random_source(1)),
          store_(start_time, random_source(2))
    {
        fill_store(peer_store_, documents_);
        if (initial == initial_state::previous_version)
        {
            fill_store(store_, split_set(make_objects(target_count, 1)));
            now_ = start_time + 10s;
        }
        begin_ = now_;
        for (std::uint32_t i = 1; i <= set_store::max_peers; ++i)
        {
            const byte_count burst{full_burst ? bytes_per_second * burst_seconds
                                              : bytes_per_second};
            budgets_.emplace(vm_id{i},
                             byte_budget({{bytes_per_second}, burst, {20000}}));
        }
    }

    /// Runs until version 2 is in effect, but for at most an hour.
    void run()
    {
        if (initial_ == initial_state::index_from_service)
        {
            process_outputs(store_.handle_index(documents_.index, now_));
        }
        for (const auto& [peer, budget] : budgets_)
        {
            process_outputs(store_.handle_peer_version({2}, peer, now_));
        }
        while (store_.status().in_effect != set_version{2} &&
               now_ - begin_ < 1h)
        {
            now_ += 5ms;
            while (!scheduled_inputs_.empty() &&
                   scheduled_inputs_.begin()->first <= now_)
            {
                const auto due_input =
                    scheduled_inputs_.extract(scheduled_inputs_.begin());
                deliver(due_input.mapped());
            }
            if ((now_ - begin_) % 100ms == duration{})
            {
                process_outputs(store_.tick(now_));
            }
        }
    }

    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(now_ - begin_).count();
    }
    [[nodiscard]] double peer_bytes() const
    {
        return peer_bytes_;
    }
    [[nodiscard]] double service_reads() const
    {
        return service_reads_;
    }

private:
    using scheduled_input = std::variant<send_chunk_part, read_chunk>;

    void process_outputs(const store_outputs& outputs)
    {
        for (const store_output& each : outputs)
        {
            if (const auto* outgoing = std::get_if<send_chunk_request>(&each))
            {
                request_from_peer(*outgoing);
            }
            else if (const auto* read = std::get_if<read_chunk>(&each))
            {
                ++service_reads_;
                scheduled_inputs_.emplace(now_ + 2 * one_way_delay, *read);
            }
        }
    }

    void request_from_peer(const send_chunk_request& outgoing)
    {
        for (const store_output& each :
             peer_store_.handle_request(starting_vm, outgoing.request))
        {
            const auto& chunk_reply = std::get<send_chunk_part>(each);
            const byte_count size{encode_message(chunk_reply.part).size() +
                                  envelope_size};
            byte_budget& budget = budgets_.at(outgoing.to);
            if (budget.allows(size, priority_of(chunk_reply.part), now_))
            {
                budget.spend(size, now_);
                peer_bytes_ += static_cast<double>(size.value);
                scheduled_inputs_.emplace(
                    now_ + 2 * one_way_delay,
                    send_chunk_part{outgoing.to, chunk_reply.part});
            }
        }
    }

    void deliver(const scheduled_input& content)
    {
        if (const auto* chunk_reply = std::get_if<send_chunk_part>(&content))
        {
            process_outputs(
                store_.handle_part(chunk_reply->to, chunk_reply->part, now_));
            return;
        }
        const auto& read = std::get<read_chunk>(content);
        process_outputs(store_.handle_chunk(read.name, read.hash,
                                            texts_.at(read.hash), now_));
    }

    set_documents documents_;
    chunk_texts texts_;
    initial_state initial_;
    set_store peer_store_;
    set_store store_;
    std::map<vm_id, byte_budget> budgets_;
    std::multimap<instant, scheduled_input> scheduled_inputs_;
    instant now_ = start_time;
    instant begin_ = start_time;
    double peer_bytes_ = 0;
    double service_reads_ = 0;
};

void print_fetch(const char* prefix, initial_state initial,
                 std::uint64_t bytes_per_second, bool full_burst)
{
    for (const std::uint32_t target_count : {18U, 6000U, 12000U, 24000U})
    {
        fetching_daemon daemon(target_count, initial, bytes_per_second,
                               full_burst);
        daemon.run();
        const std::string name(prefix);
        print_row((name + ".time").c_str(), target_count, daemon.seconds(),
                  "s");
        print_row((name + ".from_peers").c_str(), target_count,
                  daemon.peer_bytes(), "B");
        print_row((name + ".service_reads").c_str(), target_count,
                  daemon.service_reads(), "1");
    }
}

void print_all_peer_loads(const std::string& prefix, initial_state initial)
{
    print_fetch((prefix + "_rested_peers").c_str(), initial, 2048, true);
    print_fetch((prefix + "_busy_peers").c_str(), initial, 512, false);
    print_fetch((prefix + "_silent_peers").c_str(), initial, 1, false);
}

} // namespace

void measure_daemon_start()
{
    print_all_peer_loads("start", initial_state::version_from_peers);
    print_all_peer_loads("start_index", initial_state::index_from_service);
}

void measure_set_change()
{
    print_all_peer_loads("change", initial_state::previous_version);
}

} // namespace capacity
