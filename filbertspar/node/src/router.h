#pragma once

#include <functional>
#include <memory>

#include "filbertspar/node/src/link_client.h"
#include "filbertspar/node/src/owner_term.h"
#include "filbertspar/node/src/owner_watch.h"

namespace filbertspar {

/// \brief Routes a call to the owner of the jobs, on this VM or another one,
/// and retries it when the owner changes during the call.
class Router {
 public:
  Router(OwnerWatch& watch, LinkClient& link,
         std::function<std::shared_ptr<OwnerTerm>()> owner_term)
      : m_watch(watch), m_link(link), m_owner_term(std::move(owner_term)) {}

  /// \brief Returns the reply to the call. kNoOwner and the other codes whose
  /// outcome is "not run" are returned only when the call had no effect and
  /// will have none; otherwise a submit or cancel returns kOutcomeUnknown.
  asio::awaitable<JobReply> Execute(JobCall call);

 private:
  OwnerWatch& m_watch;
  LinkClient& m_link;
  std::function<std::shared_ptr<OwnerTerm>()> m_owner_term;
};

}  // namespace filbertspar
