#pragma once

// Simulates the platform's metadata store: serves range reads and watches over
// HTTP, and can lose its history. Runs on the thread of its `io_context`.

#include "catkinkeel/base/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace catkinkeel::soak
{

class store_simulator
{
public:
    /// Throws `boost::system::system_error` if the address is in use.
    store_simulator(boost::asio::io_context& context, const endpoint& address);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Drops the history: watches from an earlier revision get status 410.
    void lose_history();

    struct response
    {
        unsigned status = 200;
        std::string body;
    };
    /// Returns a page of the items whose keys follow `after_key`.
    [[nodiscard]] response read_range(const std::string& after_key) const;
    /// Returns the changes after `after_revision`, an empty list if there are
    /// none.
    [[nodiscard]] response read_changes(std::uint64_t after_revision) const;
    /// Whether a watch from `after_revision` can be answered at once.
    [[nodiscard]] bool has_changes(std::uint64_t after_revision) const
    {
        return revision_ > after_revision ||
               after_revision < oldest_watchable_revision_;
    }
    /// Calls `callback` once, at the next change.
    void call_on_next_change(std::function<void()> callback)
    {
        change_callbacks_.push_back(std::move(callback));
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void accept();
    void record_change(const std::string& key);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<std::string, item> items_;
    /// Changed keys by the revision of the change.
    std::map<std::uint64_t, std::string> history_;
    std::list<std::function<void()>> change_callbacks_;
    std::uint64_t revision_ = 100;
    /// Watches from an earlier revision fail.
    std::uint64_t oldest_watchable_revision_ = 100;
};

} // namespace catkinkeel::soak
