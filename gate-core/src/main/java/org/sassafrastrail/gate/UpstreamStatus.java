package org.sassafrastrail.gate;

/** What a gateway can come to believe of an upstream. */
public enum UpstreamStatus {
    /** It is registered and may get work. */
    FOUND,
    /** It takes no new work because it is going to stop. */
    LEAVING,
    /** It is registered no more. */
    GONE,
    /** It failed too often and gets no work for a while. */
    EJECTED,
    /** It may get work again. */
    BACK
}
