#pragma once

// Simulates VMs, each with a `membership` state machine, and the network
// between them in virtual time: message loss, delay, duplication and reordering
// (by random delay), partitions and paused processes. Runs with the same seed
// are identical.

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
    /// Probabilities per message.
    double loss = 0;
    double duplication = 0;
    /// Each message is delayed by a random time in this range.
    duration min_delay = 1ms;
    duration max_delay = 8ms;
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

    /// Returns the member information of a VM. Its addresses derive from `id`.
    static member make_member(vm_id id, data_centre_id in_data_centre = {1})
    {
        const ipv4_address address{0x0a000000U + id.value};
        return {.id = id,
                .data_centre = in_data_centre,
                .control = {address, 7400},
                .packets = {address, 6080}};
    }

    /// Starts the process of a VM. A VM that ran before is restarted without
    /// its state.
    void start(vm_id id, data_centre_id in_data_centre = {1},
               membership_settings settings = {})
    {
        node& started = nodes_[id];
        started = node{};
        started.in_data_centre = in_data_centre;
        started.process.emplace(settings, random_source(random_.next()));
        started.process->start(make_member(id, in_data_centre));
        started.next_tick = now_ + random_delay(settings_.tick_period);
    }

    /// Stops the process without notifying the other VMs.
    void kill(vm_id id)
    {
        nodes_.at(id).process.reset();
        nodes_.at(id).deferred_messages.clear();
    }

    void shut_down(vm_id id)
    {
        send_all(id, nodes_.at(id).process->shut_down(now_));
    }

    /// Suspends the process. Messages to it are queued until `resume`.
    void pause(vm_id id)
    {
        nodes_.at(id).paused = true;
    }

    void resume(vm_id id)
    {
        node& resumed = nodes_.at(id);
        resumed.paused = false;
        resumed.next_tick = now_;
        for (auto& [from, content] :
             std::exchange(resumed.deferred_messages, {}))
        {
            deliver(from, id, content);
        }
    }

    /// Messages between VMs of different partitions are dropped. The default
    /// partition is 0.
    void set_partition(vm_id id, int partition)
    {
        nodes_.at(id).partition = partition;
    }

    /// Moves all VMs to partition 0.
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

    /// Applies a list of all running VMs on every VM that is running and not
    /// paused.
    void publish_list()
    {
        vm_list list{now_, {}};
        for (const auto& [id, each] : nodes_)
        {
            if (each.process)
            {
                const member info = make_member(id, each.in_data_centre);
                list.vms.push_back({id, each.in_data_centre, info.control,
                                    info.packets, listed_vm_state::live});
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

    void run_for(duration time)
    {
        run_until(time, [] { return false; });
    }

    /// Runs until `condition()` is true, tested every 10 ms, and returns the
    /// elapsed time. Empty if it is not true within `timeout`.
    template <class Predicate>
    std::optional<duration> run_until(duration timeout, Predicate condition)
    {
        const instant started_at = now_;
        while (now_ - started_at < timeout)
        {
            step(now_ + 10ms);
            if (condition())
            {
                return now_ - started_at;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] bool running(vm_id id) const
    {
        return nodes_.at(id).process.has_value();
    }

    /// The VM must be running.
    [[nodiscard]] const membership& at(vm_id id) const
    {
        return *nodes_.at(id).process;
    }

    /// State of `observed` in the view of `observer`; empty if the view does
    /// not contain it.
    [[nodiscard]] std::optional<liveness> state_in_view(vm_id observer,
                                                        vm_id observed) const
    {
        const member* const found = at(observer).view().find(observed);
        return found == nullptr ? std::nullopt : std::optional(found->state);
    }

    /// Whether `observed` has `state` in the views of all other running VMs.
    [[nodiscard]] bool all_views_show(vm_id observed, liveness state) const
    {
        for (const auto& [id, each] : nodes_)
        {
            if (each.process && id != observed &&
                state_in_view(id, observed) != state)
            {
                return false;
            }
        }
        return true;
    }

    /// Whether every running VM is alive in the views of all others.
    [[nodiscard]] bool converged() const
    {
        for (const auto& [id, each] : nodes_)
        {
            if (each.process && !all_views_show(id, liveness::alive))
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
        data_centre_id in_data_centre;
        bool paused = false;
        int partition = 0;
        instant next_tick;
        std::vector<std::pair<vm_id, vm_message>> deferred_messages;
    };

    struct message_in_flight
    {
        vm_id from;
        vm_id to;
        vm_message content;
    };

    void step(instant until)
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= until)
        {
            const auto arrival = in_flight_.extract(in_flight_.begin());
            now_ = std::max(now_, arrival.key());
            const message_in_flight& message = arrival.mapped();
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
        const auto receiver = nodes_.find(to);
        if (receiver == nodes_.end() || !receiver->second.process ||
            receiver->second.partition != nodes_.at(from).partition)
        {
            return;
        }
        if (receiver->second.paused)
        {
            receiver->second.deferred_messages.emplace_back(from, content);
            return;
        }
        send_all(to, receiver->second.process->handle(from, content, now_));
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
                        now_ + settings_.min_delay +
                            random_delay(settings_.max_delay -
                                         settings_.min_delay),
                        message_in_flight{from, each.to, each.content});
                }
            }
        }
    }

    duration random_delay(duration max_random_delay)
    {
        return duration(static_cast<duration::rep>(random_.below(
            static_cast<std::uint64_t>(max_random_delay.count()) + 1)));
    }

    vm_network_settings settings_;
    random_source random_;
    instant now_{};
    std::map<vm_id, node> nodes_;
    std::multimap<instant, message_in_flight> in_flight_;
};

} // namespace catkinkeel::testing
