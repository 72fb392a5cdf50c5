/** Code generated from src/main/proto by its generate script; never edited by hand. */
package io.beryldock.wire;
