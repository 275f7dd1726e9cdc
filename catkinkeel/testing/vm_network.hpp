#pragma once

// A network of membership machines in virtual time: loss, delay, duplication,
// reordering (by random delay), partition and pause. The same seed gives the
// same run.

#include "catkinkeel/vm/membership.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace catkinkeel::testing
{

struct vm_network_settings
{
    double loss = 0;
    double duplication = 0;
    duration shortest_delay = 1ms;
    duration longest_delay = 8ms;
    duration tick_period = 100ms;
};

class vm_network
{
public:
    /// Called for each message that a VM sends.
    std::function<void(vm_id from, const outgoing_vm_message& sent)> on_send;

    vm_network(vm_network_settings settings, std::uint64_t seed)
        : settings_(settings), random_(seed)
    {
    }

    static member make_member(vm_id id, data_centre_id where = {1})
    {
        const ipv4_address address{0x0a000000U + id.value};
        return {.id = id,
                .data_centre = where,
                .control = {address, 7400},
                .packets = {address, 6080}};
    }

    /// Starts a process for the VM, a new life if it ran before.
    void start(vm_id id, data_centre_id where = {1},
               membership_settings settings = {})
    {
        node& started = nodes_[id];
        started = node{};
        started.where = where;
        started.process.emplace(settings, random_source(random_.next()));
        started.process->start(make_member(id, where));
        started.next_tick = now_ + delay_up_to(settings_.tick_period);
    }

    /// Ends the process without a word.
    void kill(vm_id id)
    {
        nodes_.at(id).process.reset();
        nodes_.at(id).held.clear();
    }

    void shut_down(vm_id id)
    {
        send_all(id, nodes_.at(id).process->shut_down(now_));
    }

    /// A paused process handles nothing; what it is sent waits for it.
    void pause(vm_id id)
    {
        nodes_.at(id).paused = true;
    }

    void resume(vm_id id)
    {
        node& resumed = nodes_.at(id);
        resumed.paused = false;
        resumed.next_tick = now_;
        for (auto& [from, content] : std::exchange(resumed.held, {}))
        {
            deliver(from, id, content);
        }
    }

    /// VMs of different partitions do not reach each other; 0 is the default.
    void set_partition(vm_id id, int partition)
    {
        nodes_.at(id).partition = partition;
    }

    void heal()
    {
        for (auto& [id, each] : nodes_)
        {
            each.partition = 0;
        }
    }

    void set_loss(double loss)
    {
        settings_.loss = loss;
    }

    /// Gives every running VM a list of all running VMs.
    void publish_list()
    {
        vm_list list{now_, {}};
        for (const auto& [id, each] : nodes_)
        {
            if (each.process)
            {
                const member about = make_member(id, each.where);
                list.vms.push_back({id, each.where, about.control,
                                    about.packets, listed_vm_state::live});
            }
        }
        publish_list(list);
    }

    void publish_list(const vm_list& list)
    {
        for (auto& [id, each] : nodes_)
        {
            if (each.process && !each.paused)
            {
                each.process->apply_vm_list(list, now_);
            }
        }
    }

    [[nodiscard]] instant now() const
    {
        return now_;
    }

    void run_for(duration span)
    {
        run_until(span, [] { return false; });
    }

    /// Runs until `reached` holds, tested every 10 ms, and returns the time it
    /// took; empty if it did not within `limit`.
    template <class Condition>
    std::optional<duration> run_until(duration limit, Condition reached)
    {
        const instant begun = now_;
        while (now_ - begun < limit)
        {
            step(now_ + 10ms);
            if (reached())
            {
                return now_ - begun;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] bool running(vm_id id) const
    {
        return nodes_.at(id).process.has_value();
    }

    [[nodiscard]] const membership& at(vm_id id) const
    {
        return *nodes_.at(id).process;
    }

    /// State of `about` in the view of `observer`; empty if unknown.
    [[nodiscard]] std::optional<liveness> seen(vm_id observer,
                                               vm_id about) const
    {
        const member* const found = at(observer).view().find(about);
        return found == nullptr ? std::nullopt : std::optional(found->state);
    }

    /// Whether every running VM sees `about` in `state`.
    [[nodiscard]] bool all_see(vm_id about, liveness state) const
    {
        for (const auto& [id, each] : nodes_)
        {
            if (each.process && id != about && seen(id, about) != state)
            {
                return false;
            }
        }
        return true;
    }

    /// Whether every running VM sees every running one as alive.
    [[nodiscard]] bool converged() const
    {
        for (const auto& [id, each] : nodes_)
        {
            if (each.process && !all_see(id, liveness::alive))
            {
                return false;
            }
        }
        return true;
    }

private:
    struct node
    {
        std::optional<membership> process;
        data_centre_id where;
        bool paused = false;
        int partition = 0;
        instant next_tick;
        std::vector<std::pair<vm_id, vm_message>> held;
    };

    struct flying
    {
        vm_id from;
        vm_id to;
        vm_message content;
    };

    void step(instant until)
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= until)
        {
            const auto first = in_flight_.extract(in_flight_.begin());
            now_ = std::max(now_, first.key());
            const flying& message = first.mapped();
            deliver(message.from, message.to, message.content);
        }
        now_ = until;
        for (auto& [id, each] : nodes_)
        {
            if (each.process && !each.paused && each.next_tick <= now_)
            {
                each.next_tick = now_ + settings_.tick_period;
                send_all(id, each.process->tick(now_));
            }
        }
    }

    void deliver(vm_id from, vm_id to, const vm_message& content)
    {
        const auto found = nodes_.find(to);
        if (found == nodes_.end() || !found->second.process ||
            found->second.partition != nodes_.at(from).partition)
        {
            return;
        }
        if (found->second.paused)
        {
            found->second.held.emplace_back(from, content);
            return;
        }
        send_all(to, found->second.process->handle(from, content, now_));
    }

    void send_all(vm_id from, const vm_outbox& messages)
    {
        for (const outgoing_vm_message& each : messages)
        {
            if (on_send)
            {
                on_send(from, each);
            }
            const int copies = random_.unit() < settings_.duplication ? 2 : 1;
            for (int i = 0; i < copies; ++i)
            {
                if (random_.unit() >= settings_.loss)
                {
                    in_flight_.emplace(
                        now_ + settings_.shortest_delay +
                            delay_up_to(settings_.longest_delay -
                                        settings_.shortest_delay),
                        flying{from, each.to, each.content});
                }
            }
        }
    }

    duration delay_up_to(duration longest)
    {
        return duration(static_cast<duration::rep>(
            random_.below(static_cast<std::uint64_t>(longest.count()) + 1)));
    }

    vm_network_settings settings_;
    random_source random_;
    instant now_{};
    std::map<vm_id, node> nodes_;
    std::multimap<instant, flying> in_flight_;
};

} // namespace catkinkeel::testing
