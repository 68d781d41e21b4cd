# Puts the libraries and the product's own packages into target/deps.
set -eu
deps=target/deps
staged=target/staged.$$
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check \
        --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
mkdir -p "$staged"
for package in config decisions http daemon; do
    cp -R "packages/$package/src/jacinthcroft_$package" "$staged/"
done
cp -R platform/src/jacinthcroft_platform "$staged/"
# A package that has not changed stays in place, since processes that run from
# the folder may be started again during the build.
for package in "$staged"/*; do
    built="$deps/${package##*/}"
    if ! diff -rq -x __pycache__ "$package" "$built" > /dev/null 2>&1; then
        rm -rf "$built"
        mv "$package" "$built"
    fi
done
rm -rf "$staged"
# The root is read-only at run time.
python3 -m compileall -q "$deps"
