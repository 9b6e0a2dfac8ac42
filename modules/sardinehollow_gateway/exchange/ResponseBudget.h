#pragma once

#include <cstddef>

namespace sardinehollow::gateway {

/**
 * Bytes of servers' responses that a daemon holds for its open requests together. While they exceed
 * the limit, each request holds back less and reads no faster than its caller.
 */
class ResponseBudget
{
public:
    /** What one request holds. */
    class Share
    {
    public:
        explicit Share(ResponseBudget &budget)
            : m_budget(budget)
        { }
        ~Share() { set(0); }

        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        void set(std::size_t bytes)
        {
            m_budget.m_bytes += bytes - m_bytes;
            m_bytes = bytes;
        }

    private:
        ResponseBudget &m_budget;
        std::size_t m_bytes = 0;
    };

    explicit ResponseBudget(std::size_t limit)
        : m_limit(limit)
    { }

    std::size_t bytes() const { return m_bytes; }
    bool isExceeded() const { return m_bytes > m_limit; }

private:
    const std::size_t m_limit;
    std::size_t m_bytes = 0;
};

} // namespace sardinehollow::gateway
