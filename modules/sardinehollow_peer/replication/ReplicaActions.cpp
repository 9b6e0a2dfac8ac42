#include "sardinehollow_peer/replication/ReplicaActions.h"

#include <iterator>

namespace sardinehollow::peer {

void ReplicaActions::append(ReplicaActions more)
{
    const auto move = [](auto &to, auto &from) {
        to.insert(to.end(), std::make_move_iterator(from.begin()),
                  std::make_move_iterator(from.end()));
    };
    move(messages, more.messages);
    move(readParts, more.readParts);
    move(adopted, more.adopted);
    startWatch = startWatch || more.startWatch;
    cancelWatch = cancelWatch || more.cancelWatch;
}

} // namespace sardinehollow::peer
