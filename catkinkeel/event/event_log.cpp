#include "catkinkeel/event/event_log.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <iostream>
#include <utility>

namespace catkinkeel
{

namespace
{

using ostream_frontend = boost::log::sinks::synchronous_sink<
    boost::log::sinks::text_ostream_backend>;

duration log_period_of(const event_definition& definition)
{
    return std::chrono::seconds(definition.log_period_seconds);
}

} // namespace

struct boost_log_sink::implementation
{
    log_format format;
    boost::shared_ptr<ostream_frontend> frontend;
    boost::log::sources::severity_logger<severity> logger;
};

boost_log_sink::boost_log_sink(std::ostream& stream, log_format format,
                               severity min_severity, log_flush flush)
    : implementation_(std::make_unique<implementation>())
{
    namespace expressions = boost::log::expressions;
    const auto backend =
        boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    backend->auto_flush(flush == log_flush::each_line);

    implementation_->format = format;
    implementation_->frontend = boost::make_shared<ostream_frontend>(backend);
    implementation_->frontend->set_formatter(expressions::stream
                                             << expressions::smessage);
    implementation_->frontend->set_filter(
        [min_severity](const boost::log::attribute_value_set& values)
        {
            const auto level =
                boost::log::extract<severity>("Severity", values);
            return level && level.get() >= min_severity;
        });
    boost::log::core::get()->add_sink(implementation_->frontend);
}

boost_log_sink::~boost_log_sink()
{
    boost::log::core::get()->remove_sink(implementation_->frontend);
}

std::unique_ptr<event_sink> boost_log_sink::to_stderr(log_format format,
                                                      severity min_severity)
{
    return std::make_unique<boost_log_sink>(std::cerr, format, min_severity);
}

void boost_log_sink::write(const event_record& record, std::uint64_t suppressed)
{
    // An event without a catalogue entry is a programming error and is logged
    // as an error.
    const event_definition* definition = find_event(record.number);
    const severity level =
        definition != nullptr ? definition->level : severity::error;
    BOOST_LOG_SEV(implementation_->logger, level)
        << render_line(record, implementation_->format, suppressed);
}

event_log::event_log(std::unique_ptr<event_sink> sink,
                     std::size_t audit_capacity)
    : sink_(std::move(sink)),
      limit_states_(event_catalogue().size()),
      audit_(audit_capacity)
{
}

void event_log::report(const event_record& record, instant now,
                       const change_origin& origin)
{
    audit_.add(record, origin);
    const std::scoped_lock lock(mutex_);
    const event_definition* definition = find_event(record.number);
    if (definition == nullptr)
    {
        // A number without a catalogue entry has no log period, so every
        // occurrence is logged.
        sink_->write(record, 0);
        return;
    }
    const auto row =
        static_cast<std::size_t>(definition - event_catalogue().data());
    const log_limit_decision decision =
        apply_log_limit(limit_states_[row], log_period_of(*definition), now);
    limit_states_[row] = decision.new_state;
    if (decision.should_log)
    {
        sink_->write(record, decision.suppressed);
    }
}

void event_log::report_suppressed(wall_time at, instant now)
{
    const std::scoped_lock lock(mutex_);
    for (std::size_t i = 0; i < limit_states_.size(); ++i)
    {
        const event_definition& definition = event_catalogue()[i];
        const std::uint64_t suppressed = limit_states_[i].suppressed;
        if (suppressed == 0 ||
            now - *limit_states_[i].last_logged_at < log_period_of(definition))
        {
            continue;
        }
        limit_states_[i] = {};
        sink_->write({.number = event_number::events_suppressed,
                      .at = at,
                      .fields = {field("number", static_cast<unsigned>(
                                                     definition.number)),
                                 field("count", suppressed)}},
                     0);
    }
}

} // namespace catkinkeel
