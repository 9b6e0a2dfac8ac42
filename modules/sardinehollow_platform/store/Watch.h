#pragma once

namespace sardinehollow::platform {

/** A running watch; the destructor stops it and waits for a running call of the listener. */
class Watch
{
public:
    virtual ~Watch() = default;
};

} // namespace sardinehollow::platform
