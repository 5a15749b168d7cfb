// Sets a flag for the duration of a scope, also if the scope is left by an
// exception.
#ifndef FIGSTALL_SCOPED_FLAG_H_
#define FIGSTALL_SCOPED_FLAG_H_

namespace figstall {

class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

}  // namespace figstall

#endif  // FIGSTALL_SCOPED_FLAG_H_
