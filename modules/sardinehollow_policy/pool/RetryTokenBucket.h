#pragma once

namespace sardinehollow::policy {

/** Token bucket that limits the retries of one work kind to a fraction of its requests. */
class RetryTokenBucket
{
public:
    /** Each request adds tokensPerRequest, up to capacity; each retry costs one token. */
    RetryTokenBucket(double tokensPerRequest, double capacity)
        : m_tokensPerRequest(tokensPerRequest)
        , m_capacity(capacity)
    { }

    void onRequest();
    /** Takes the token for one retry; returns false if there is none. */
    bool tryConsume();

private:
    double m_tokensPerRequest;
    double m_capacity;
    double m_tokens = 0.0;
};

} // namespace sardinehollow::policy
