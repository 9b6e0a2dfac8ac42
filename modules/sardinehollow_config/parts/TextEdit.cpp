#include "sardinehollow_config/parts/TextEdit.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace sardinehollow::config {

namespace {

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
        lines.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return lines;
}

// Maps each line that occurs once to its position, and repeated lines to the number of lines: only
// a unique line determines where a moved range begins.
std::unordered_map<std::string_view, std::size_t> uniqueLines(const Lines &lines)
{
    std::unordered_map<std::string_view, std::size_t> positions;
    for (std::size_t index = 0; index < lines.size(); ++index) {
        const auto [item, added] = positions.emplace(lines[index], index);
        if (!added)
            item->second = lines.size();
    }
    return positions;
}

void appendCopy(std::vector<TextEdit> &edits, std::size_t offset, std::size_t length)
{
    const bool extends = !edits.empty() && edits.back().inserted.empty()
            && edits.back().offset + edits.back().length == offset;
    if (extends)
        edits.back().length += length;
    else
        edits.push_back({offset, length, {}});
}

void appendInsertion(std::vector<TextEdit> &edits, std::string_view line)
{
    if (edits.empty())
        edits.emplace_back();
    edits.back().inserted += line;
}

} // namespace

std::vector<TextEdit> editsBetween(const std::string &from, const std::string &to)
{
    const Lines oldLines = splitLines(from);
    const Lines newLines = splitLines(to);
    const auto positions = uniqueLines(oldLines);
    // The common suffix is found first, so that it is copied even if lines before it were inserted
    // or removed.
    std::size_t commonSuffix = 0;
    const std::size_t maximumSuffix = std::min(oldLines.size(), newLines.size());
    while (commonSuffix < maximumSuffix
           && oldLines[oldLines.size() - 1 - commonSuffix]
                   == newLines[newLines.size() - 1 - commonSuffix])
        ++commonSuffix;
    std::vector<TextEdit> edits;
    std::size_t next = 0;
    for (std::size_t index = 0; index < newLines.size(); ++index) {
        const std::string_view line = newLines[index];
        if (newLines.size() - index == commonSuffix)
            next = oldLines.size() - commonSuffix;
        if (next >= oldLines.size() || oldLines[next] != line) {
            const auto found = positions.find(line);
            const bool unique = found != positions.end() && found->second < oldLines.size();
            if (!unique) {
                appendInsertion(edits, line);
                continue;
            }
            next = found->second;
        }
        appendCopy(edits, static_cast<std::size_t>(oldLines[next].data() - from.data()),
                   line.size());
        ++next;
    }
    return edits;
}

std::string applyEdits(const std::string &from, const std::vector<TextEdit> &edits)
{
    std::string text;
    for (const TextEdit &edit : edits) {
        if (edit.offset < from.size())
            text.append(from, edit.offset, edit.length);
        text += edit.inserted;
    }
    return text;
}

} // namespace sardinehollow::config
