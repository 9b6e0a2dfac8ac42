#pragma once

#include <array>
#include <cstddef>

namespace sardinehollow::network {

/**
 * Bytes of responses that a daemon holds for all callers together: those that it holds back, and
 * those that wait to be sent, also after the request has ended. While they exceed the limit, each
 * request holds back less and reads no faster than its caller.
 */
class ResponseBudget
{
public:
    /** Why bytes are held. */
    enum class Purpose {
        /** An open request holds them back, so that it can be retried. */
        HeldBack,
        /** They wait in a connection until its caller takes them. */
        Unsent,
        Count,
    };

    /** What one request or connection holds. */
    class Share
    {
    public:
        Share(ResponseBudget &budget, Purpose purpose)
            : m_total(budget.m_bytes[static_cast<std::size_t>(purpose)])
        { }
        ~Share() { set(0); }

        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        void set(std::size_t bytes)
        {
            m_total += bytes - m_bytes;
            m_bytes = bytes;
        }

    private:
        std::size_t &m_total;
        std::size_t m_bytes = 0;
    };

    explicit ResponseBudget(std::size_t limit)
        : m_limit(limit)
    { }

    std::size_t bytes(Purpose purpose) const { return m_bytes[static_cast<std::size_t>(purpose)]; }
    bool isExceeded() const { return bytes(Purpose::HeldBack) + bytes(Purpose::Unsent) > m_limit; }

private:
    const std::size_t m_limit;
    std::array<std::size_t, static_cast<std::size_t>(Purpose::Count)> m_bytes {};
};

} // namespace sardinehollow::network
