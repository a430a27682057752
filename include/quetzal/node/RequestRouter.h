#pragma once

#include "include/quetzal/node/JobRequestHandler.h"
#include "include/quetzal/node/Membership.h"
#include "include/quetzal/node/OpenRequests.h"
#include "include/quetzal/node/PeerLinks.h"
#include "include/quetzal/node/Tombstones.h"
#include "include/quetzal/store/SharedStore.h"

#include <QtCore/QObject>
#include <functional>
#include <string>

namespace quetzal::node {

/** What a RequestRouter uses; each must outlive it. */
struct RouterPorts
{
  const Membership* membership_ = nullptr;
  PeerLinks* links_ = nullptr;
  store::SharedStore* store_ = nullptr;
  metrics::Registry* metrics_ = nullptr;
  /** Returns the cell of this name if this process owns it, else null. */
  std::function<cells::Cell*(const std::string&)> ownCell_;
};

/** Sends each caller's request to the owner of its cell, and repeats it while its outcome is
 * unknown. Each request gets one answer within its timeout. */
class RequestRouter : public QObject
{
  Q_OBJECT

public:
  /** @param aSelf the name of this entry host. */
  RequestRouter(std::string aSelf, RouterPorts aPorts, QObject* aParent);

  /** See JobRequestHandler::Handle. */
  std::uint64_t Handle(const JobRequest& aRequest, cells::AnswerCallback aDone);

  /** Answers a request that another entry host has received. @param aBody an encoded JobCall;
   * @param aReply takes an encoded JobReply. */
  void HandleCall(const std::string& aBody, const std::function<void(const std::string&)>& aReply);

  OpenRequests& Requests() { return requests_; }
  const OpenRequests& Requests() const { return requests_; }

private:
  /** Sends a request to whoever owns its cell now. */
  void Route(const JobRequest& aRequest, const cells::AnswerCallback& aDone);
  /** Handles the answer of one attempt, which may call for another attempt. */
  void OnAnswer(const JobRequest& aRequest,
                clock::Moment aSentAt,
                const cells::Answer& aAnswer,
                const cells::AnswerCallback& aDone);
  void SendToOwner(const jobs::OwnerRecord& aOwner,
                   const JobRequest& aRequest,
                   const cells::AnswerCallback& aDone);
  void OnOwnersReply(const std::string& aIncarnation,
                     const JobRequest& aRequest,
                     clock::Moment aSentAt,
                     const CallResult& aResult,
                     const cells::AnswerCallback& aDone);
  void Retry(const JobRequest& aRequest, const cells::AnswerCallback& aDone);
  /** Answers from the stored record of the request's job. @param aFinal whether the record's cell
   * need not be asked. */
  void AnswerFromStore(const JobRequest& aRequest, const cells::AnswerCallback& aDone, bool aFinal);
  void OnRecordRead(const JobRequest& aRequest,
                    const store::ReadResult& aResult,
                    const cells::AnswerCallback& aDone,
                    bool aFinal);
  void AnswerFromRecord(const JobRequest& aRequest,
                        const std::string& aBytes,
                        const cells::AnswerCallback& aDone,
                        bool aFinal);
  /** Decides a cancel of a job that its cell does not know: no submission that is on its way may be
   * accepted once the caller was told that there is no such job. */
  void StoreTombstone(const JobRequest& aRequest, const cells::AnswerCallback& aDone);
  void OnTombstone(const JobRequest& aRequest,
                   const TombstoneResult& aResult,
                   const cells::AnswerCallback& aDone);

  std::string self_;
  RouterPorts ports_;
  OpenRequests requests_;
  Tombstones tombstones_;
};

/** Returns the refusal of a request whose cell has no owner to accept it. */
cells::Answer
MakeRefusal();

} // namespace quetzal::node
