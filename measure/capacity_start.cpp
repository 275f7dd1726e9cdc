// How long a daemon takes to get a whole set at its start, or a change of one
// object, in virtual time: 32 peers with the byte budget of a daemon, and the
// service behind them.

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

constexpr instant start{1000s};
constexpr vm_id newcomer{1000};
/// One way, of the service and of peers.
constexpr duration delay = 5ms;
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

/// Gives all documents to a store as the service would.
void fill(set_store& store, const set_documents& documents)
{
    const chunk_texts texts = texts_of(documents);
    store_outputs next = store.index_read(documents.index, start);
    while (!next.empty())
    {
        store_outputs more;
        for (const store_output& each : next)
        {
            if (const auto* read = std::get_if<read_chunk>(&each))
            {
                std::ranges::move(store.chunk_read(read->name, read->hash,
                                                   texts.at(read->hash), start),
                                  std::back_inserter(more));
            }
        }
        if (more.empty() && !store.in_effect())
        {
            // Without peers it waits before it trusts the service.
            more = store.tick(start + 2s);
        }
        next = std::move(more);
    }
}

/// The documents of version 2, in which one target drains.
set_documents changed_documents(std::uint32_t targets)
{
    published_objects objects = make_objects(targets, 2);
    objects.targets.back().wish = target_wish::drain;
    return split_set(objects);
}

/// What a daemon knows when it begins to read version 2.
enum class beginning
{
    /// Nothing; it hears of the version from peers.
    hears_of_version,
    /// Nothing; it reads the index from the service at once.
    reads_index,
    /// Version 1 is in effect.
    has_former_version
};

class reading_daemon
{
public:
    /// Each peer may still send `rate` bytes a second and, if `rested`, has
    /// saved up the burst that the daemon allows.
    reading_daemon(std::uint32_t targets, beginning from, std::uint64_t rate,
                   bool rested)
        : documents_(changed_documents(targets)),
          texts_(texts_of(documents_)),
          from_(from),
          holder_(start, random_source(1)),
          store_(start, random_source(2))
    {
        fill(holder_, documents_);
        if (from == beginning::has_former_version)
        {
            fill(store_, split_set(make_objects(targets, 1)));
            now_ = start + 10s;
        }
        begun_ = now_;
        for (std::uint32_t i = 1; i <= set_store::max_peers; ++i)
        {
            const byte_count burst{rested ? rate * burst_seconds : rate};
            budgets_.emplace(vm_id{i}, byte_budget({{rate}, burst, {20000}}));
        }
    }

    /// Runs until the set is in effect, at most an hour.
    void run()
    {
        if (from_ == beginning::reads_index)
        {
            take(store_.index_read(documents_.index, now_));
        }
        for (const auto& [peer, budget] : budgets_)
        {
            take(store_.handle_peer_version({2}, peer, now_));
        }
        while (store_.status().in_effect != set_version{2} &&
               now_ - begun_ < 1h)
        {
            now_ += 5ms;
            while (!due_.empty() && due_.begin()->first <= now_)
            {
                const auto next = due_.extract(due_.begin());
                deliver(next.mapped());
            }
            if ((now_ - begun_) % 100ms == duration{})
            {
                take(store_.tick(now_));
            }
        }
    }

    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(now_ - begun_).count();
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
    using arrival = std::variant<send_chunk_part, read_chunk>;

    void take(const store_outputs& outputs)
    {
        for (const store_output& each : outputs)
        {
            if (const auto* ask = std::get_if<send_chunk_request>(&each))
            {
                ask_holder(*ask);
            }
            else if (const auto* read = std::get_if<read_chunk>(&each))
            {
                ++service_reads_;
                due_.emplace(now_ + 2 * delay, *read);
            }
        }
    }

    void ask_holder(const send_chunk_request& ask)
    {
        for (const store_output& each :
             holder_.requested(newcomer, ask.request))
        {
            const auto& answer = std::get<send_chunk_part>(each);
            const byte_count size{encode_message(answer.part).size() +
                                  envelope_size};
            byte_budget& budget = budgets_.at(ask.to);
            if (budget.allows(size, priority_of(answer.part), now_))
            {
                budget.spend(size, now_);
                peer_bytes_ += static_cast<double>(size.value);
                due_.emplace(now_ + 2 * delay,
                             send_chunk_part{ask.to, answer.part});
            }
        }
    }

    void deliver(const arrival& content)
    {
        if (const auto* answer = std::get_if<send_chunk_part>(&content))
        {
            take(store_.received(answer->to, answer->part, now_));
            return;
        }
        const auto& read = std::get<read_chunk>(content);
        take(store_.chunk_read(read.name, read.hash, texts_.at(read.hash),
                               now_));
    }

    set_documents documents_;
    chunk_texts texts_;
    beginning from_;
    set_store holder_;
    set_store store_;
    std::map<vm_id, byte_budget> budgets_;
    std::multimap<instant, arrival> due_;
    instant now_ = start;
    instant begun_ = start;
    double peer_bytes_ = 0;
    double service_reads_ = 0;
};

void print_reading(const char* prefix, beginning from, std::uint64_t rate,
                   bool rested)
{
    for (const std::uint32_t targets : {18U, 6000U, 12000U, 24000U})
    {
        reading_daemon daemon(targets, from, rate, rested);
        daemon.run();
        const std::string name(prefix);
        print_row((name + ".time").c_str(), targets, daemon.seconds(), "s");
        print_row((name + ".from_peers").c_str(), targets, daemon.peer_bytes(),
                  "B");
        print_row((name + ".service_reads").c_str(), targets,
                  daemon.service_reads(), "1");
    }
}

void print_all(const std::string& prefix, beginning from)
{
    print_reading((prefix + "_rested_peers").c_str(), from, 2048, true);
    print_reading((prefix + "_busy_peers").c_str(), from, 512, false);
    print_reading((prefix + "_silent_peers").c_str(), from, 1, false);
}

} // namespace

void measure_start()
{
    print_all("start", beginning::hears_of_version);
    print_all("start_index", beginning::reads_index);
}

void measure_change()
{
    print_all("change", beginning::has_former_version);
}

} // namespace capacity
