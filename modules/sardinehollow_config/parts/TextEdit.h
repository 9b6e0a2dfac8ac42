#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace sardinehollow::config {

/** Copies a range of an earlier text, given in bytes, and appends new text to it. */
struct TextEdit
{
    std::size_t offset = 0;
    std::size_t length = 0;
    std::string inserted;

    bool operator==(const TextEdit &) const = default;
};

/** Returns edits that turn one text into another; lines are copied or inserted as a whole. */
std::vector<TextEdit> editsBetween(const std::string &from, const std::string &to);

/** Applies edits; ranges are truncated at the end of the text. */
std::string applyEdits(const std::string &from, const std::vector<TextEdit> &edits);

} // namespace sardinehollow::config
