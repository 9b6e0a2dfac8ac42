#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinehollow::standin {

/**
 * Returns bytes [offset, offset + length) of the content generated for a request. The content
 * depends only on the identity, so a client can check that a response is complete and belongs to
 * its request. The identity is "METHOD path-and-query key", where the key is the idempotency key.
 */
std::string contentFor(std::string_view identity, std::uint64_t offset, std::size_t length);

} // namespace sardinehollow::standin
