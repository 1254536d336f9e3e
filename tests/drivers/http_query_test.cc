#include "drivers/http_query.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

HttpRequest Request(const std::string& target) {
  HttpRequest request;
  request.target = target;
  return request;
}

std::string EachByte() {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) bytes += static_cast<char>(byte);
  return bytes;
}

// Guards against text of others that ends its value, the query or the request
// line, or is read as another text.
TEST(HttpQueryTest, EachByteArrivesAsItWasWritten) {
  const std::string target =
      TargetWithQuery("/read", {{"after", EachByte()}, {EachByte(), "name"}});
  EXPECT_EQ(target.find_first_of("#+ \r\n"), std::string::npos);
  for (const char byte : target) {
    EXPECT_GT(byte, ' ');
    EXPECT_LT(byte, '\x7f');
  }
  const absl::StatusOr<HttpQuery> query = HttpQuery::Parse(Request(target));
  ASSERT_TRUE(query.ok()) << query.status();
  EXPECT_EQ(query->Value("after"), EachByte());
  EXPECT_EQ(query->Value(EachByte()), "name");
}

// Guards against a reader that takes a malformed value for another one.
TEST(HttpQueryTest, MalformedQueriesAreRefused) {
  for (const char* target :
       {"/read?after=a%4", "/read?after=a%#", "/read?after=%",
        "/read?after=%zz", "/read?after=a b", "/read?after=a#b",
        "/read?after=\"", "/read?a=\xff", "/read?a=\r\n"}) {
    EXPECT_FALSE(HttpQuery::Parse(Request(target)).ok()) << target;
  }
}

TEST(HttpQueryTest, FormsAreRead) {
  const absl::StatusOr<HttpQuery> query =
      HttpQuery::Parse(Request("/read?a=x+y%2Bz&b=&n=12&n=13&c"));
  ASSERT_TRUE(query.ok());
  EXPECT_EQ(query->Value("a"), "x y+z");
  EXPECT_TRUE(query->Contains("b"));
  EXPECT_TRUE(query->Contains("c"));
  EXPECT_FALSE(query->Contains("d"));
  EXPECT_EQ(query->Number("n", 7), 12u);
  EXPECT_EQ(query->Number("b", 7), 7u);
  EXPECT_FALSE(HttpQuery::Parse(Request("/read"))->Contains(""));
}

}  // namespace
}  // namespace applehall
