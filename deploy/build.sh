# Puts the libraries and the product's own packages into target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check \
        --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps"/jacinthcroft_*
for package in config decisions http daemon; do
    cp -R "packages/$package/src/jacinthcroft_$package" "$deps/"
done
cp -R platform/src/jacinthcroft_platform "$deps/"
# The root is read-only at run time.
python3 -m compileall -q "$deps"
