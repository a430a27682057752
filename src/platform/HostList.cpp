#include "include/quetzal/platform/HostList.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <QtNetwork/QNetworkReply>

namespace quetzal::platform {
namespace {

std::optional<HostStates>
ParseStates(const QByteArray& aBytes)
{
  const QJsonDocument document = QJsonDocument::fromJson(aBytes);
  if (!document.isObject() || !document["hosts"].isArray()) {
    return std::nullopt;
  }
  HostStates states;
  const QJsonArray hosts = document["hosts"].toArray();
  for (const auto& item : hosts) {
    const QJsonObject host = item.toObject();
    const bool leaving = host["state"].toString() == "leaving";
    states[host["name"].toString().toStdString()] =
      leaving ? HostState::kLeaving : HostState::kLive;
  }
  return states;
}

} // namespace

HostList::HostList(const settings::Endpoint& aEndpoint, std::chrono::milliseconds aCallTimeout)
  : endpoint_(aEndpoint)
  , callTimeout_(aCallTimeout)
{
  network_.setAutoDeleteReplies(true);
}

void
HostList::Fetch(std::function<void(const std::optional<HostStates>&)> aCallback)
{
  QUrl url;
  url.setScheme("http");
  url.setHost(QString::fromStdString(endpoint_.address_));
  url.setPort(endpoint_.port_);
  url.setPath("/v1/hosts");
  QNetworkRequest request(url);
  request.setTransferTimeout(static_cast<int>(callTimeout_.count()));
  QNetworkReply* reply = network_.get(request);
  QObject::connect(
    reply, &QNetworkReply::finished, reply, [reply, callback = std::move(aCallback)] {
      const bool succeeded = reply->error() == QNetworkReply::NoError;
      callback(succeeded ? ParseStates(reply->readAll()) : std::nullopt);
    });
}

} // namespace quetzal::platform
