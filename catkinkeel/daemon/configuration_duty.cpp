#include "catkinkeel/daemon/configuration_duty.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/publication/reader_policy.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr duration tick_period = 100ms;
constexpr std::chrono::seconds watch_wait{10};
/// How often a VM that is no reader looks whether it has become one.
constexpr duration reader_check_period = 250ms;
constexpr std::size_t errors_shown = 20;

std::string source_name(const document_source& source)
{
    const auto* peer = std::get_if<vm_id>(&source);
    return peer == nullptr ? "configuration service"
                           : "VM " + std::to_string(peer->value);
}

std::vector<std::string> error_texts(const set_refused& refused)
{
    std::vector<std::string> texts;
    for (const document_error& each : refused.document_errors)
    {
        texts.push_back(to_string(each));
    }
    for (const object_error& each : refused.object_errors)
    {
        texts.push_back(to_string(each));
    }
    texts.resize(std::min(texts.size(), errors_shown));
    return texts;
}

std::string joined(const std::vector<std::string>& texts)
{
    std::string all;
    for (const std::string& each : texts)
    {
        all += (all.empty() ? "" : "; ") + each;
    }
    return all;
}

} // namespace

configuration_duty::configuration_duty(const daemon_settings& settings,
                                       configuration_parts parts)
    : settings_(settings),
      parts_(std::move(parts)),
      store_(steady_now(), random_source(wall_nanoseconds())),
      plan_(std::make_shared<const placement_plan>())
{
}

void configuration_duty::run()
{
    instant last_tick = steady_now();
    for (;;)
    {
        const auto input = parts_.inputs->pop_for(tick_period);
        if (!input && parts_.inputs->closed())
        {
            return;
        }
        const instant now = steady_now();
        if (input)
        {
            for (const store_output& each : apply(*input, now))
            {
                carry_out(each, now);
            }
        }
        if (now - last_tick >= tick_period)
        {
            last_tick = now;
            for (const store_output& each : store_.tick(now))
            {
                carry_out(each, now);
            }
        }
        *parts_.watch_after = store_.watch_after().value;
    }
}

store_outputs configuration_duty::apply(const configuration_input& input,
                                        instant now)
{
    if (const auto* said = std::get_if<peer_version>(&input))
    {
        *parts_.last_version_report_at = now.time_since_epoch().count();
        return store_.handle_peer_version(said->version, said->peer, now);
    }
    if (const auto* gone = std::get_if<peer_gone>(&input))
    {
        store_.remove_peer(gone->peer);
        return {};
    }
    if (const auto* asked = std::get_if<chunk_asked>(&input))
    {
        return store_.requested(asked->from, asked->request);
    }
    if (const auto* part = std::get_if<chunk_part_received>(&input))
    {
        return store_.received(part->from, part->part, now);
    }
    if (const auto* index = std::get_if<catkinkeel::index_read>(&input))
    {
        *parts_.last_version_report_at = now.time_since_epoch().count();
        return store_.index_read(index->text, now);
    }
    if (const auto* chunk = std::get_if<catkinkeel::chunk_read>(&input))
    {
        return store_.chunk_read(chunk->name, chunk->hash, chunk->text, now);
    }
    if (const auto* failed = std::get_if<catkinkeel::chunk_read_failed>(&input))
    {
        return store_.chunk_read_failed(failed->hash, now);
    }
    return store_.tick(now);
}

void configuration_duty::carry_out(const store_output& output, instant now)
{
    std::visit([&](const auto& each) { carry_out(each, now); }, output);
}

void configuration_duty::carry_out(const set_accepted& accepted,
                                   instant /*now*/)
{
    const published_objects& objects = accepted.set->objects();
    plan_ = std::make_shared<const placement_plan>(
        *accepted.set, data_centre_group(*accepted.set, settings_.data_centre),
        *plan_);
    parts_.decide->push(set_changed{accepted.set, plan_});
    parts_.board->in_effect = objects.version.value;
    shown_.set.in_effect = objects.version;
    shown_.set.since = wall_now();
    shown_.set.published_by = objects.published_by;
    shown_.set.last_refused.reset();
    parts_.board->configuration.put(shown_);
    const change_origin origin{objects.version, "published set",
                               objects.published_by};
    parts_.events->report(event_number::set_in_effect,
                          {field("version", objects.version.value),
                           field("published_by", objects.published_by),
                           field("source", source_name(accepted.source))},
                          origin);
    for (const data_centre& each : objects.data_centres)
    {
        const bool was =
            !accepted.previous || accepted.previous->in_service(each.id);
        const bool is = each.wish == data_centre_wish::in_service;
        if (was != is)
        {
            parts_.events->report(is ? event_number::data_centre_in
                                     : event_number::data_centre_out,
                                  {field("data_centre", each.name),
                                   field("version", objects.version.value)},
                                  origin);
        }
    }
}

void configuration_duty::carry_out(const set_refused& refused, instant /*now*/)
{
    ++shown_.refused;
    shown_.set.last_refused = {refused.version, wall_now(),
                               error_texts(refused)};
    parts_.board->configuration.put(shown_);
    parts_.events->report(
        event_number::set_refused,
        {field("version", refused.version.value),
         field("in_effect", shown_.set.in_effect.value),
         field("errors", joined(shown_.set.last_refused->errors))},
        {refused.version, "published set", ""});
}

void configuration_duty::carry_out(const set_ignored& ignored, instant /*now*/)
{
    if (ignored.reason != ignore_reason::older)
    {
        return;
    }
    ++shown_.older_ignored;
    parts_.board->configuration.put(shown_);
    parts_.events->report(event_number::set_older_ignored,
                          {field("version", ignored.version.value),
                           field("in_effect", ignored.newest.value)});
}

void configuration_duty::carry_out(const set_incomplete& /*incomplete*/,
                                   instant /*now*/)
{
}

void configuration_duty::carry_out(const document_rejected& rejected,
                                   instant /*now*/)
{
    parts_.events->report(
        event_number::chunk_mismatch,
        {field("chunk",
               rejected.name.empty() ? std::string("index") : rejected.name),
         field("version", store_.status().candidate.value),
         field("source", source_name(rejected.source))});
}

void configuration_duty::carry_out(const send_chunk_request& ask, instant now)
{
    parts_.link->send({ask.to, ask.request}, now);
}

void configuration_duty::carry_out(const send_chunk_part& answer, instant now)
{
    parts_.link->send({answer.to, answer.part}, now);
}

void configuration_duty::carry_out(const read_chunk& order, instant now)
{
    if (!parts_.chunks->try_push({order.name, order.hash}))
    {
        for (const store_output& each :
             store_.chunk_read_failed(order.hash, now))
        {
            carry_out(each, now);
        }
    }
}

// Threads that read

void reading_duty::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    woken_.notify_all();
}

bool reading_duty::pause(duration time)
{
    std::unique_lock lock(mutex_);
    woken_.wait_for(lock, time, [&] { return stopped_; });
    return !stopped_;
}

bool reading_duty::stopped() const
{
    const std::lock_guard lock(mutex_);
    return stopped_;
}

index_watch::index_watch(const daemon_settings& settings,
                         configuration_parts parts)
    : settings_(settings),
      parts_(std::move(parts)),
      client_(settings.configuration),
      random_(wall_nanoseconds())
{
}

void index_watch::run()
{
    while (!stopped())
    {
        const auto view = parts_.board->view.get();
        const instant last_version_report_at{
            duration(parts_.last_version_report_at->load())};
        if (should_watch_service(*view, settings_.id, settings_.data_centre,
                                 last_version_report_at, steady_now()))
        {
            watch_once();
        }
        else
        {
            pause(reader_check_period);
        }
    }
}

void index_watch::watch_once()
{
    const set_version after{parts_.watch_after->load()};
    const index_answer answer = client_.watch_index(after, watch_wait);
    watch_result result = watch_result::usable;
    const instant now = steady_now();
    if (const auto* failed = std::get_if<http_failure>(&answer))
    {
        result = watch_result::unusable;
        if (reachable_ && !stopped())
        {
            lost_at_ = now;
            parts_.events->report(
                event_number::configuration_unreachable,
                {field("endpoint", to_string(settings_.configuration)),
                 field("reason", failed->message)});
        }
        reachable_ = false;
    }
    else
    {
        if (!reachable_)
        {
            parts_.events->report(
                event_number::configuration_reachable,
                {field("endpoint", to_string(settings_.configuration)),
                 field("seconds",
                       std::chrono::duration_cast<std::chrono::seconds>(
                           now - lost_at_)
                           .count())});
        }
        reachable_ = true;
    }
    parts_.board->configuration_up = reachable_;
    if (const auto* text = std::get_if<std::string>(&answer))
    {
        parts_.inputs->push(index_read{*text});
        const auto read = parse_index(*text);
        const auto* index = std::get_if<index_document>(&read);
        if (index == nullptr || index->version <= after)
        {
            result = watch_result::unusable;
        }
    }
    pause(watch_delay(result, random_));
}

void index_watch::stop()
{
    reading_duty::stop();
    client_.stop();
}

chunk_reader::chunk_reader(const daemon_settings& settings,
                           configuration_parts parts)
    : parts_(std::move(parts)), client_(settings.configuration)
{
}

void chunk_reader::run()
{
    while (const auto order = parts_.chunks->pop())
    {
        const text_answer answer = client_.read_chunk(order->name, order->hash);
        if (const auto* text = std::get_if<std::string>(&answer))
        {
            parts_.inputs->push(chunk_read{order->name, order->hash, *text});
        }
        else
        {
            parts_.inputs->push(chunk_read_failed{order->hash});
        }
    }
}

void chunk_reader::stop()
{
    parts_.chunks->close();
    client_.stop();
}

} // namespace catkinkeel
