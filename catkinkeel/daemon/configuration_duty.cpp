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
/// Time for which the service holds a watch open while the index is unchanged.
constexpr std::chrono::seconds watch_timeout{10};
/// Period at which a VM that does not read the configuration service checks
/// whether it has become a reader.
constexpr duration reader_check_period = 250ms;
/// Maximum number of errors of a refused set in events and status documents.
constexpr std::size_t max_reported_errors = 20;

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
    texts.resize(std::min(texts.size(), max_reported_errors));
    return texts;
}

std::string join(const std::vector<std::string>& texts)
{
    std::string text;
    for (const std::string& each : texts)
    {
        text += (text.empty() ? "" : "; ") + each;
    }
    return text;
}

} // namespace

configuration_duty::configuration_duty(const daemon_settings& settings,
                                       configuration_dependencies dependencies)
    : settings_(settings),
      dependencies_(std::move(dependencies)),
      store_(steady_now(), random_source(wall_nanoseconds())),
      plan_(std::make_shared<const placement_plan>())
{
}

void configuration_duty::run()
{
    instant last_tick = steady_now();
    for (;;)
    {
        const auto input = dependencies_.inputs->pop_for(tick_period);
        if (!input && dependencies_.inputs->closed())
        {
            return;
        }
        const instant now = steady_now();
        if (input)
        {
            for (const store_output& each : handle_input(*input, now))
            {
                handle_output(each, now);
            }
        }
        if (now - last_tick >= tick_period)
        {
            last_tick = now;
            for (const store_output& each : store_.tick(now))
            {
                handle_output(each, now);
            }
        }
        *dependencies_.watch_after = store_.watch_after().value;
    }
}

store_outputs configuration_duty::handle_input(const configuration_input& input,
                                               instant now)
{
    if (const auto* reported = std::get_if<peer_version_received>(&input))
    {
        *dependencies_.last_version_received_at =
            now.time_since_epoch().count();
        return store_.handle_peer_version(reported->version, reported->peer,
                                          now);
    }
    if (const auto* declared_dead = std::get_if<peer_declared_dead>(&input))
    {
        store_.remove_peer(declared_dead->peer);
        return {};
    }
    if (const auto* requested_chunk =
            std::get_if<chunk_request_received>(&input))
    {
        return store_.handle_request(requested_chunk->from,
                                     requested_chunk->request);
    }
    if (const auto* part = std::get_if<chunk_part_received>(&input))
    {
        return store_.handle_part(part->from, part->part, now);
    }
    if (const auto* index = std::get_if<catkinkeel::index_read>(&input))
    {
        *dependencies_.last_version_received_at =
            now.time_since_epoch().count();
        return store_.handle_index(index->text, now);
    }
    if (const auto* chunk = std::get_if<catkinkeel::chunk_read>(&input))
    {
        return store_.handle_chunk(chunk->name, chunk->hash, chunk->text, now);
    }
    if (const auto* failed = std::get_if<catkinkeel::chunk_read_failed>(&input))
    {
        return store_.handle_chunk_read_failure(failed->hash, now);
    }
    return store_.tick(now);
}

void configuration_duty::handle_output(const store_output& output, instant now)
{
    std::visit([&](const auto& each) { handle_output(each, now); }, output);
}

void configuration_duty::handle_output(const set_accepted& accepted,
                                       instant /*now*/)
{
    const published_objects& objects = accepted.set->objects();
    plan_ = std::make_shared<const placement_plan>(
        *accepted.set, data_centre_group(*accepted.set, settings_.data_centre),
        *plan_);
    dependencies_.decide_inputs->push(set_changed{accepted.set, plan_});
    dependencies_.board->version_in_effect = objects.version.value;
    snapshot_.set.in_effect = objects.version;
    snapshot_.set.since = wall_now();
    snapshot_.set.published_by = objects.published_by;
    snapshot_.set.last_refused.reset();
    dependencies_.board->latest_configuration_snapshot.put(snapshot_);
    const change_origin origin{objects.version, "published set",
                               objects.published_by};
    dependencies_.events->report(
        event_number::set_in_effect,
        {field("version", objects.version.value),
         field("published_by", objects.published_by),
         field("source", source_name(accepted.source))},
        origin);
    for (const data_centre& each : objects.data_centres)
    {
        const bool was_in_service =
            !accepted.previous || accepted.previous->in_service(each.id);
        const bool is_in_service = each.wish == data_centre_wish::in_service;
        if (was_in_service != is_in_service)
        {
            dependencies_.events->report(
                is_in_service ? event_number::data_centre_in
                              : event_number::data_centre_out,
                {field("data_centre", each.name),
                 field("version", objects.version.value)},
                origin);
        }
    }
}

void configuration_duty::handle_output(const set_refused& refused,
                                       instant /*now*/)
{
    ++snapshot_.sets_refused;
    snapshot_.set.last_refused = {refused.version, wall_now(),
                                  error_texts(refused)};
    dependencies_.board->latest_configuration_snapshot.put(snapshot_);
    dependencies_.events->report(
        event_number::set_refused,
        {field("version", refused.version.value),
         field("in_effect", snapshot_.set.in_effect.value),
         field("errors", join(snapshot_.set.last_refused->errors))},
        {refused.version, "published set", ""});
}

void configuration_duty::handle_output(const set_ignored& ignored,
                                       instant /*now*/)
{
    if (ignored.reason != ignore_reason::older)
    {
        return;
    }
    ++snapshot_.older_sets_ignored;
    dependencies_.board->latest_configuration_snapshot.put(snapshot_);
    dependencies_.events->report(event_number::set_older_ignored,
                                 {field("version", ignored.version.value),
                                  field("in_effect", ignored.newest.value)});
}

void configuration_duty::handle_output(const set_incomplete& /*incomplete*/,
                                       instant /*now*/)
{
}

void configuration_duty::handle_output(const document_rejected& rejected,
                                       instant /*now*/)
{
    dependencies_.events->report(
        event_number::chunk_mismatch,
        {field("chunk",
               rejected.name.empty() ? std::string("index") : rejected.name),
         field("version", store_.status().candidate.value),
         field("source", source_name(rejected.source))});
}

void configuration_duty::handle_output(
    const send_chunk_request& request_to_send, instant now)
{
    dependencies_.link->send({request_to_send.to, request_to_send.request},
                             now);
}

void configuration_duty::handle_output(const send_chunk_part& part_to_send,
                                       instant now)
{
    dependencies_.link->send({part_to_send.to, part_to_send.part}, now);
}

void configuration_duty::handle_output(const read_chunk& read_request,
                                       instant now)
{
    if (!dependencies_.chunk_reads->try_push(
            {read_request.name, read_request.hash}))
    {
        for (const store_output& each :
             store_.handle_chunk_read_failure(read_request.hash, now))
        {
            handle_output(each, now);
        }
    }
}

// Duties that read over HTTP

void http_reader_duty::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    stop_condition_.notify_all();
}

bool http_reader_duty::sleep_for(duration time)
{
    std::unique_lock lock(mutex_);
    stop_condition_.wait_for(lock, time, [&] { return stopped_; });
    return !stopped_;
}

bool http_reader_duty::stopped() const
{
    const std::lock_guard lock(mutex_);
    return stopped_;
}

index_watcher::index_watcher(const daemon_settings& settings,
                             configuration_dependencies dependencies)
    : settings_(settings),
      dependencies_(std::move(dependencies)),
      client_(settings.configuration),
      random_(wall_nanoseconds())
{
}

void index_watcher::run()
{
    while (!stopped())
    {
        const auto view = dependencies_.board->latest_view.get();
        const instant last_version_received_at{
            duration(dependencies_.last_version_received_at->load())};
        if (should_watch_service(*view, settings_.id, settings_.data_centre,
                                 last_version_received_at, steady_now()))
        {
            watch_once();
        }
        else
        {
            sleep_for(reader_check_period);
        }
    }
}

void index_watcher::watch_once()
{
    const set_version after{dependencies_.watch_after->load()};
    const index_answer answer = client_.watch_index(after, watch_timeout);
    watch_result result = watch_result::usable;
    const instant now = steady_now();
    if (const auto* failed = std::get_if<http_failure>(&answer))
    {
        result = watch_result::unusable;
        if (reachable_ && !stopped())
        {
            unreachable_since_ = now;
            dependencies_.events->report(
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
            dependencies_.events->report(
                event_number::configuration_reachable,
                {field("endpoint", to_string(settings_.configuration)),
                 field("seconds",
                       std::chrono::duration_cast<std::chrono::seconds>(
                           now - unreachable_since_)
                           .count())});
        }
        reachable_ = true;
    }
    dependencies_.board->configuration_reachable = reachable_;
    if (const auto* text = std::get_if<std::string>(&answer))
    {
        dependencies_.inputs->push(index_read{*text});
        const auto parsed = parse_index(*text);
        const auto* index = std::get_if<index_document>(&parsed);
        if (index == nullptr || index->version <= after)
        {
            result = watch_result::unusable;
        }
    }
    sleep_for(watch_delay(result, random_));
}

void index_watcher::stop()
{
    http_reader_duty::stop();
    client_.stop();
}

chunk_reader::chunk_reader(const daemon_settings& settings,
                           configuration_dependencies dependencies)
    : dependencies_(std::move(dependencies)), client_(settings.configuration)
{
}

void chunk_reader::run()
{
    while (const auto read_request = dependencies_.chunk_reads->pop())
    {
        const text_answer answer =
            client_.read_chunk(read_request->name, read_request->hash);
        if (const auto* text = std::get_if<std::string>(&answer))
        {
            dependencies_.inputs->push(
                chunk_read{read_request->name, read_request->hash, *text});
        }
        else
        {
            dependencies_.inputs->push(chunk_read_failed{read_request->hash});
        }
    }
}

void chunk_reader::stop()
{
    dependencies_.chunk_reads->close();
    client_.stop();
}

} // namespace catkinkeel
