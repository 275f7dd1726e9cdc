#include "catkinkeel/packet/packet_batch.hpp"

#include "catkinkeel/packet/internal/packet_batch_storage.hpp"

#include <cassert>

namespace catkinkeel
{

packet_batch::packet_batch() : storage_(std::make_unique<storage>())
{
    for (std::size_t i = 0; i < batch_capacity; ++i)
    {
        storage_->vectors[i] = {.iov_base = storage_->buffers[i].data(),
                                .iov_len = datagram_buffer_size};
        msghdr& header = storage_->headers[i].msg_hdr;
        header.msg_name = &storage_->senders[i];
        header.msg_namelen = sizeof(sockaddr_in);
        header.msg_iov = &storage_->vectors[i];
        header.msg_iovlen = 1;
    }
}

packet_batch::packet_batch(packet_batch&&) noexcept = default;
packet_batch& packet_batch::operator=(packet_batch&&) noexcept = default;
packet_batch::~packet_batch() = default;

std::span<const received_datagram> packet_batch::datagrams() const
{
    return std::span(storage_->datagrams).first(storage_->size);
}

outgoing_batch::outgoing_batch()
{
    datagrams_.reserve(batch_capacity);
    refusals_.reserve(batch_capacity);
}

void outgoing_batch::add(const outgoing_datagram& datagram)
{
    assert(!full());
    datagrams_.push_back(datagram);
}

void outgoing_batch::add_refusal(const endpoint& to,
                                 const refusal_packet& refusal)
{
    assert(!full());
    // The capacity was reserved, so the vector does not reallocate and the view
    // stays valid.
    refusals_.push_back(refusal);
    add(encapsulate_for_target(to, refusals_.back().view()));
}

void outgoing_batch::clear()
{
    datagrams_.clear();
    refusals_.clear();
}

} // namespace catkinkeel
