#pragma once

// Stand-in for the platform's metadata store: ranges and watches over HTTP,
// with a history that can be lost. Runs on the thread of its `io_context`.

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
    /// Throws `boost::system::system_error` if the address is taken.
    store_simulator(boost::asio::io_context& context, const endpoint& address);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Watches from before this moment are answered with status 410.
    void lose_history();

    struct answer
    {
        unsigned status = 200;
        std::string body;
    };
    [[nodiscard]] answer range(const std::string& after) const;
    /// Changes after a revision; an empty list if there are none.
    [[nodiscard]] answer changes(std::uint64_t after) const;
    [[nodiscard]] bool has_changes(std::uint64_t after) const
    {
        return revision_ > after || after < oldest_;
    }
    /// Calls `ready` at the next change, once.
    void notify(std::function<void()> ready)
    {
        waiting_.push_back(std::move(ready));
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void accept();
    void changed(const std::string& key);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<std::string, item> items_;
    /// Key by revision of its change.
    std::map<std::uint64_t, std::string> history_;
    std::list<std::function<void()>> waiting_;
    std::uint64_t revision_ = 100;
    std::uint64_t oldest_ = 100;
};

} // namespace catkinkeel::soak
