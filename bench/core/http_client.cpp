// Blocking requests with libcurl's easy interface.
#include "bench/core/http_client.h"

#include <curl/curl.h>
#include <memory>

namespace balsamwheel::bench {

namespace {

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Body) {
  static_cast<std::string *>(Body)->append(Data, Size * Count);
  return Size * Count;
}

struct HeaderListDeleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

HeaderList makeHeaders(const std::vector<std::string> &Lines) {
  curl_slist *List = nullptr;
  for (const std::string &Line : Lines)
    List = curl_slist_append(List, Line.c_str());
  return HeaderList(List);
}

} // namespace

ClientReply sendRequest(const ClientRequest &Request) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Handle(
      curl_easy_init(), &curl_easy_cleanup);
  const HeaderList Headers = makeHeaders(Request.m_Headers);
  ClientReply Reply;
  CURL *Easy = Handle.get();
  curl_easy_setopt(Easy, CURLOPT_URL, Request.m_Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.m_Method.c_str());
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(
      Easy, CURLOPT_TIMEOUT_MS,
      static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                            Request.m_Timeout)
                            .count()));
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Reply.m_Body);
  if (!Request.m_Body.empty()) {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Request.m_Body.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.m_Body.size()));
  }
  if (curl_easy_perform(Easy) == CURLE_OK)
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Reply.m_Status);
  return Reply;
}

ClientReply postJson(const std::string &Url, const nlohmann::json &Body) {
  ClientRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = Url;
  Request.m_Headers = {"Content-Type: application/json"};
  Request.m_Body = Body.dump();
  return sendRequest(Request);
}

nlohmann::json getJson(const std::string &Url) {
  ClientRequest Request;
  Request.m_Url = Url;
  return nlohmann::json::parse(sendRequest(Request).m_Body, nullptr,
                               /*allow_exceptions=*/false);
}

} // namespace balsamwheel::bench
