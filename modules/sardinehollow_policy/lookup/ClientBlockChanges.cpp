#include "sardinehollow_policy/lookup/ClientBlockChanges.h"

namespace sardinehollow::policy {

namespace {

using Blocks = std::vector<config::ClientBlock>;

/** Moves to the next block; returns false if its prefix is not greater than the previous one. */
bool advanceInOrder(Blocks::const_iterator &position, const Blocks &blocks)
{
    const auto previous = position++;
    return position == blocks.end() || previous->prefix < position->prefix;
}

} // namespace

std::optional<std::vector<core::IpPrefix>>
clientBlockChanges(const std::vector<config::ClientBlock> &before,
                   const std::vector<config::ClientBlock> &after)
{
    const std::size_t limit = after.size() / 10 + 1;
    std::vector<core::IpPrefix> changes;
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        // Equal blocks are the common case; checking the order of one list suffices for them.
        if (left != before.end() && right != after.end() && *left == *right) {
            ++left;
            if (!advanceInOrder(right, after))
                return std::nullopt;
            continue;
        }
        const bool takeLeft
                = right == after.end() || (left != before.end() && left->prefix <= right->prefix);
        const bool takeRight
                = left == before.end() || (right != after.end() && right->prefix <= left->prefix);
        changes.push_back(takeLeft ? left->prefix : right->prefix);
        if (changes.size() > limit)
            return std::nullopt;
        if ((takeLeft && !advanceInOrder(left, before))
            || (takeRight && !advanceInOrder(right, after)))
            return std::nullopt;
    }
    return changes;
}

} // namespace sardinehollow::policy
