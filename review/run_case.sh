# Runs one case: its folder, the stand-in and further arguments of that.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
run_case() {
  local folder=$1 program=review/bin/$2
  shift 2
  local daemon=$PWD/target/bin/applehall-edged
  [ -x "$daemon" ] && [ -x "$program" ] || {
    echo "build the deploy file and review/build.sh first"
    exit 2
  }
  local temporary
  temporary=$(mktemp -d) || exit 2
  timeout -k 2 110 "$program" "$daemon" "$temporary" "$PWD/$folder/record.txt" "$@"
  local code=$?
  rm -rf "$temporary"
  [ "$code" -le 1 ] || exit 2
  exit "$code"
}
