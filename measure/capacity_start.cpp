// How long a daemon that has just started takes to get a whole set, in virtual
// time: 32 peers with the byte budget of a daemon, and the service behind them.

#include "catkinkeel/contract/set_store.hpp"
#include "catkinkeel/contract/write_documents.hpp"
#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/envelope.hpp"

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

class starting_daemon
{
public:
    /// Each peer may still send `rate` bytes a second and, if `rested`, has
    /// saved up the burst that the daemon allows.
    starting_daemon(std::uint32_t targets, std::uint64_t rate, bool rested)
        : documents_(split_set(make_objects(targets, 1))),
          holder_(start, random_source(1)),
          store_(start, random_source(2))
    {
        for (const auto& chunk : documents_.chunks)
        {
            texts_[chunk.entry.hash] = &chunk.text;
        }
        fill_holder();
        for (std::uint32_t i = 1; i <= set_store::max_peers; ++i)
        {
            const byte_count burst{rested ? rate * burst_seconds : rate};
            budgets_.emplace(vm_id{i}, byte_budget({{rate}, burst, {20000}}));
        }
    }

    /// Runs until the set is in effect, at most an hour.
    void run()
    {
        for (const auto& [peer, budget] : budgets_)
        {
            take(store_.peers_reported({1}, peer, now_));
        }
        while (!store_.in_effect() && now_ - start < 1h)
        {
            now_ += 5ms;
            while (!due_.empty() && due_.begin()->first <= now_)
            {
                const auto next = due_.extract(due_.begin());
                deliver(next.mapped());
            }
            if ((now_ - start) % 100ms == duration{})
            {
                take(store_.tick(now_));
            }
        }
    }

    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(now_ - start).count();
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
    using arrival = std::variant<answer_peer, read_chunk>;

    void fill_holder()
    {
        store_outputs next = holder_.index_read(documents_.index, start);
        while (!next.empty())
        {
            store_outputs more;
            for (const store_output& each : next)
            {
                if (const auto* read = std::get_if<read_chunk>(&each))
                {
                    for (store_output& output :
                         holder_.chunk_read(read->name, read->hash,
                                            *texts_.at(read->hash), start))
                    {
                        more.push_back(std::move(output));
                    }
                }
            }
            if (more.empty() && !holder_.in_effect())
            {
                // Without peers it waits before it trusts the service.
                more = holder_.tick(start + 2s);
            }
            next = std::move(more);
        }
    }

    void take(const store_outputs& outputs)
    {
        for (const store_output& each : outputs)
        {
            if (const auto* ask = std::get_if<ask_peer>(&each))
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

    void ask_holder(const ask_peer& ask)
    {
        for (const store_output& each :
             holder_.requested(newcomer, ask.request))
        {
            const auto& answer = std::get<answer_peer>(each);
            const byte_count size{encode_message(answer.part).size() +
                                  envelope_size};
            byte_budget& budget = budgets_.at(ask.to);
            if (budget.allows(size, priority_of(answer.part), now_))
            {
                budget.spend(size, now_);
                peer_bytes_ += static_cast<double>(size.value);
                due_.emplace(now_ + 2 * delay,
                             answer_peer{ask.to, answer.part});
            }
        }
    }

    void deliver(const arrival& content)
    {
        if (const auto* answer = std::get_if<answer_peer>(&content))
        {
            take(store_.received(answer->to, answer->part, now_));
            return;
        }
        const auto& read = std::get<read_chunk>(content);
        take(store_.chunk_read(read.name, read.hash, *texts_.at(read.hash),
                               now_));
    }

    set_documents documents_;
    std::map<std::string, const std::string*> texts_;
    set_store holder_;
    set_store store_;
    std::map<vm_id, byte_budget> budgets_;
    std::multimap<instant, arrival> due_;
    instant now_ = start;
    double peer_bytes_ = 0;
    double service_reads_ = 0;
};

void print_start(const char* prefix, std::uint64_t rate, bool rested)
{
    for (const std::uint32_t targets : {18U, 6000U, 12000U, 24000U})
    {
        starting_daemon daemon(targets, rate, rested);
        daemon.run();
        const std::string name(prefix);
        print_row((name + ".time").c_str(), targets, daemon.seconds(), "s");
        print_row((name + ".from_peers").c_str(), targets, daemon.peer_bytes(),
                  "B");
        print_row((name + ".service_reads").c_str(), targets,
                  daemon.service_reads(), "1");
    }
}

} // namespace

void measure_start()
{
    print_start("start_rested_peers", 2048, true);
    print_start("start_busy_peers", 512, false);
    print_start("start_silent_peers", 1, false);
}

} // namespace capacity
